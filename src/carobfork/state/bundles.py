"""Define bundles, the signed configuration of programs and backend servers.

A bundle is versioned as a whole. The classes have the structure of the
bundle file.
"""

from collections.abc import Iterable
from typing import TypeVar

import attrs

from carobfork import exceptions
from carobfork.state import validators

DEFAULT_QUEUE_LIMIT_MS = 4000
DEFAULT_TIMEOUT_MS = 10_000

DEFAULT_IDLE_LIMIT_MS = 1_800_000


@attrs.frozen
class Address:
    """An IP address and a TCP port."""

    ip: str = attrs.field(validator=validators.ip_address)
    port: int = attrs.field(validator=validators.port)

    def __str__(self) -> str:
        """Return ``ip:port``."""
        return f'{self.ip}:{self.port}'


@attrs.frozen
class Rank:
    """A priority class; a bundle lists the most urgent rank first."""

    name: str = attrs.field(validator=validators.name)
    share: float = attrs.field(validator=validators.between(0, 1))
    """Fraction of the capacity guaranteed under any load, 0 to 1."""
    queue_limit_ms: int = attrs.field(
        default=DEFAULT_QUEUE_LIMIT_MS, validator=validators.at_least(0)
    )
    """Longest expected wait for a slot before calls are refused."""
    between_tokens_ms: int = attrs.field(
        default=0, validator=validators.at_least(0)
    )
    """Target for the mean time between tokens on engines that run calls of
    this rank, met by keeping their batches small; 0 for no target."""


@attrs.frozen
class Budget:
    """Limits of one program, its sub-agents included.

    :param tokens: tokens of prompts and answers.
    :param calls: number of calls.
    :param time_ms: time since the program was opened.
    """

    tokens: int = attrs.field(validator=validators.at_least(1))
    calls: int = attrs.field(validator=validators.at_least(1))
    time_ms: int = attrs.field(validator=validators.at_least(1))


@attrs.frozen
class ProgramKind:
    """A kind of program that callers may open.

    :param name: the kind's name.
    :param rank: the name of its programs' rank.
    :param budget: the limits of each program.
    """

    name: str = attrs.field(validator=validators.name)
    rank: str
    budget: Budget
    idle_limit_ms: int = DEFAULT_IDLE_LIMIT_MS
    """Longest time without a request before a program is ended."""


@attrs.frozen
class Worker:
    """A backend server that runs a model engine."""

    name: str = attrs.field(validator=validators.name)
    address: Address
    fencing: bool = True
    """Whether the engine refuses commands with an old fencing number."""


@attrs.frozen
class Model:
    """A model and the workers that serve it."""

    name: str = attrs.field(validator=validators.name)
    workers: tuple[Worker, ...]


@attrs.frozen
class Operation:
    """An operation of a plain service.

    :param name: the operation's name.
    :param method: its HTTP method.
    :param path: its HTTP path.
    :param repeatable: whether calls may safely be repeated.
    :param timeout_ms: longest time for one call.
    """

    name: str = attrs.field(validator=validators.name)
    method: str
    path: str
    repeatable: bool = False
    timeout_ms: int = attrs.field(
        default=DEFAULT_TIMEOUT_MS, validator=validators.at_least(1)
    )


@attrs.frozen
class Server:
    """A backend server of a plain service."""

    name: str = attrs.field(validator=validators.name)
    address: Address


@attrs.frozen
class Service:
    """A plain service, its backend servers and its operations."""

    name: str = attrs.field(validator=validators.name)
    servers: tuple[Server, ...]
    operations: tuple[Operation, ...]


@attrs.frozen
class Policy:
    """Names of the policies in force, and their settings.

    :param order: the queue order.
    :param placement: the placement policy.
    :param limit: the slot limiter.
    :param admission: the admission policy.
    """

    order: str = 'least_attained'
    placement: str = 'affinity_by_cost'
    limit: str = 'aimd'
    admission: str = 'by_program'
    between_tokens_target_ms: int = 45
    """Target for an engine's mean time between tokens, an upper bound."""


@attrs.frozen
class Bundle:
    """Configuration that operators sign and roll out as a unit.

    :param version: the bundle's version.
    :param ranks: the ranks, most urgent first.
    :param programs: the kinds of programs.
    :param models: the models with their workers.
    :param services: the plain services.
    :param policy: the policies in force.
    """

    version: int = attrs.field(validator=validators.at_least(1))
    ranks: tuple[Rank, ...] = attrs.field(validator=validators.not_empty)
    programs: tuple[ProgramKind, ...]
    models: tuple[Model, ...]
    services: tuple[Service, ...]
    policy: Policy = attrs.Factory(Policy)

    def rank_position(self, name: str) -> int:
        """Return a rank's position, 0 for the most urgent."""
        return [rank.name for rank in self.ranks].index(name)


Named = TypeVar('Named')


def find(named: Iterable[Named], name: str, noun: str) -> Named:
    """Return the member with a name.

    :param named: the members.
    :param name: the name to look for.
    :param noun: what the members are, for the error message.
    :raises BadRequestError: if no member has the name.
    """
    for member in named:
        if member.name == name:
            return member
    raise exceptions.BadRequestError(
        f'the bundle has no {noun} "{name}"', step='look up', peer=noun
    )
