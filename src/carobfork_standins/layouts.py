"""Layouts: which processes a lab has, their addresses and their bundle."""

import os
from collections.abc import Iterator

import attrs

from carobfork import composition
from carobfork.state import bundles
from carobfork_standins import batching, engine, platform, service

CALLER_PORT = 7101
OPERATOR_PORT = 7102
PEER_PORT = 7103
PLATFORM_PORT = 7001
ENGINE_PORT = 7201
SERVICE_PORT = 7301
MODEL = 'talk'
SERVICE = 'orders'
_DOMAINS = 3
_OCTET = 250


@attrs.frozen
class Layout:
    """How many processes of each kind there are.

    :param network: the first two octets of the lab's loopback network.
    """

    entries: int = 3
    engines: int = 2
    services: int = 1
    pace: batching.Pace = attrs.Factory(batching.Pace)
    step_ms: int = 0
    """Overrides the engines' pace where set."""
    budget_tokens: int = 200_000
    budget_calls: int = 200
    budget_time_ms: int = 600_000
    idle_limit_ms: int = bundles.DEFAULT_IDLE_LIMIT_MS
    network: str = attrs.Factory(
        lambda: (
            f'127.{1 + os.getpid() // _OCTET % _OCTET}.{os.getpid() % _OCTET}'
        )
    )

    @property
    def entry_names(self) -> list[str]:
        """Names of the entry hosts."""
        return [f'entry-{number + 1}' for number in range(self.entries)]

    @property
    def platform_address(self) -> bundles.Address:
        """The platform's address."""
        return bundles.Address(f'{self.network}.1', PLATFORM_PORT)

    def operator_address(self, entry: str) -> bundles.Address:
        """Return the operators' address of an entry host."""
        return bundles.Address(self._entry_ip(entry), OPERATOR_PORT)

    def settings(self, directory: str) -> Iterator[tuple[str, object]]:
        """Yield each process's name and settings, in starting order."""
        yield 'platform', platform.PlatformSettings(self.platform_address)
        for worker in self.workers():
            yield (
                worker.name,
                engine.EngineSettings(
                    worker.name,
                    worker.address,
                    self._engine_pace(),
                    worker.fencing,
                ),
            )
        for server in self.servers():
            yield (
                server.name,
                service.ServiceSettings(server.name, server.address),
            )
        for name in self.entry_names:
            yield name, self._entry_settings(name, directory)

    def bundle(self, version: int = 1) -> bundles.Bundle:
        """Return the lab's bundle: a program kind of each user."""
        return bundles.Bundle(
            version=version,
            ranks=(
                bundles.Rank('urgent', share=0.6),
                bundles.Rank('routine', share=0.2),
            ),
            programs=(
                self._kind('quote', 'urgent'),
                self._kind('answer', 'urgent'),
                self._kind('draft', 'routine'),
            ),
            models=(bundles.Model(MODEL, tuple(self.workers())),),
            services=(
                bundles.Service(SERVICE, tuple(self.servers()), _operations()),
            ),
        )

    def workers(self) -> list[bundles.Worker]:
        return [
            bundles.Worker(
                f'engine-{number + 1}',
                bundles.Address(f'{self.network}.{number + 100}', ENGINE_PORT),
            )
            for number in range(self.engines)
        ]

    def servers(self) -> list[bundles.Server]:
        return [
            bundles.Server(
                f'service-{number + 1}',
                bundles.Address(f'{self.network}.{number + 150}', SERVICE_PORT),
            )
            for number in range(self.services)
        ]

    def _engine_pace(self) -> batching.Pace:
        if self.step_ms:
            return attrs.evolve(self.pace, step_ms=self.step_ms)
        return self.pace

    def _kind(self, name: str, rank: str) -> bundles.ProgramKind:
        budget = bundles.Budget(
            tokens=self.budget_tokens,
            calls=self.budget_calls,
            time_ms=self.budget_time_ms,
        )
        return bundles.ProgramKind(name, rank, budget, self.idle_limit_ms)

    def _entry_settings(
        self, name: str, directory: str
    ) -> composition.EntrySettings:
        number = self.entry_names.index(name)
        return composition.EntrySettings(
            host=name,
            failure_domain=f'domain-{number % _DOMAINS + 1}',
            caller_address=bundles.Address(self._entry_ip(name), CALLER_PORT),
            operator_address=self.operator_address(name),
            peer_address=self._peer_address(name),
            platform_address=self.platform_address,
            bundle_public_key_file=f'{directory}/operators.pub',
            peer_key_file=f'{directory}/peers.key',
            seed_peers=tuple(map(self._peer_address, self.entry_names)),
        )

    def _peer_address(self, name: str) -> bundles.Address:
        return bundles.Address(self._entry_ip(name), PEER_PORT)

    def _entry_ip(self, name: str) -> str:
        return f'{self.network}.{self.entry_names.index(name) + 10}'


def _operations() -> tuple[bundles.Operation, ...]:
    return (
        bundles.Operation('stock', 'GET', '/stock', repeatable=True),
        bundles.Operation('cut', 'POST', '/cut', timeout_ms=2000),
        bundles.Operation('deposit', 'POST', '/deposit', timeout_ms=2000),
        bundles.Operation('notice', 'POST', '/notice', timeout_ms=2000),
        bundles.Operation('order ring', 'POST', '/ring', timeout_ms=2000),
    )


def arguments(name: str, path: str) -> list[str]:
    """Return the module and arguments that start a process."""
    kind = name.partition('-')[0]
    if kind == 'entry':
        return ['carobfork', 'entry', 'run', path]
    return ['carobfork_standins', kind, path]


def main_address(settings) -> bundles.Address:
    """Return the address at which a process is ready once it listens."""
    if isinstance(settings, composition.EntrySettings):
        return settings.caller_address
    return settings.address
