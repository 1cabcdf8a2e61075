"""Commands for requests to entry hosts on the platform."""

from urllib import parse as urls

from carobfork.commands import operations, outputs


class RequestCommands:
    """Look at what an entry host would do with a request."""

    def explain(
        self, host: str, path: str, at: str, program: str = '', tenant: str = ''
    ) -> outputs.Report:
        """Say where a request would go now, and why, without sending it.

        Example: ``carobfork request explain shop.example /orders/1 --at
        10.0.0.7:7381 --tenant red``

        :param host: the request's Host header.
        :param path: its path.
        :param at: metrics addresses of entry hosts as ip:port, separated by
            commas.
        :param program: the program that it belongs to, if any.
        :param tenant: name of the caller's tenant, where there are tenants.
        """
        query = urls.urlencode(
            {'host': host, 'path': path, 'program': program, 'tenant': tenant}
        )
        found = operations.ask_first(at, f'/explain?{query}')
        return outputs.Report('\n'.join(_lines(found)), found)


def _lines(found: dict) -> list[str]:
    """Return an explanation as lines for people."""
    lines = [
        f'route {found["route"]} ({found["kind"]}, rank {found["rank"]}),'
        f' configuration {found["configuration_version"]}, heard of'
        f' {found["news_age_ms"]} ms ago by {found["node"]}'
    ]
    for service in found['services']:
        lines.append(
            f'{service["service"]} (weight {service["weight"]}):'
            f' {service["decision"]}; {service["waiting"]} wait here,'
            f' {service["waiting_elsewhere"]} at other hosts'
        )
        lines.extend(_describe(worker) for worker in service['candidates'])
    return lines


def _describe(worker: dict) -> str:
    reasons = ', '.join(worker['kept_from_it']) or 'may get calls'
    return (
        f'  {worker["worker"]} in {worker["failure_domain"]}:'
        f' {worker["calls"]} of {worker["slots"]} slots in use,'
        f' time ratio {worker["time_ratio"]}: {reasons}'
    )
