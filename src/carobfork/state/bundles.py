"""Bundles: which programs run where, under which ranks and budgets.

A bundle is one versioned unit. Its classes mirror the file's structure.
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
    """An IP number and a TCP port."""

    ip: str = attrs.field(validator=validators.ip_address)
    port: int = attrs.field(validator=validators.port)

    def __str__(self) -> str:
        """Return ``ip:port``."""
        return f'{self.ip}:{self.port}'


@attrs.frozen
class Rank:
    """A class of service; ranks are listed most urgent first."""

    name: str = attrs.field(validator=validators.name)
    share: float = attrs.field(validator=validators.between(0, 1))
    """Part of the capacity kept for this rank under any flood, 0 to 1."""
    queue_limit_ms: int = attrs.field(
        default=DEFAULT_QUEUE_LIMIT_MS, validator=validators.at_least(0)
    )
    """Longest expected wait for a slot before calls are refused."""
    between_tokens_ms: int = attrs.field(
        default=0, validator=validators.at_least(0)
    )
    """Mean time between tokens to keep while calls of this rank run on an
    engine, by keeping its batch short; 0 where the rank does not ask."""


@attrs.frozen
class Budget:
    """Upper bounds for one program and all of its sub-agents."""

    tokens: int = attrs.field(validator=validators.at_least(1))
    calls: int = attrs.field(validator=validators.at_least(1))
    time_ms: int = attrs.field(validator=validators.at_least(1))


@attrs.frozen
class ProgramKind:
    """A kind of program that callers may open."""

    name: str = attrs.field(validator=validators.name)
    rank: str
    budget: Budget
    idle_limit_ms: int = DEFAULT_IDLE_LIMIT_MS
    """Longest silence of a program's caller before the program is ended."""


@attrs.frozen
class Worker:
    """One model engine."""

    name: str = attrs.field(validator=validators.name)
    address: Address
    fencing: bool = True
    """Whether the engine refuses orders with an old fencing number."""


@attrs.frozen
class Model:
    """A model and the engines that serve it."""

    name: str = attrs.field(validator=validators.name)
    workers: tuple[Worker, ...]


@attrs.frozen
class Operation:
    """One kind of call to a plain service."""

    name: str = attrs.field(validator=validators.name)
    method: str
    path: str
    repeatable: bool = False
    timeout_ms: int = attrs.field(
        default=DEFAULT_TIMEOUT_MS, validator=validators.at_least(1)
    )


@attrs.frozen
class Server:
    """One host of a plain service."""

    name: str = attrs.field(validator=validators.name)
    address: Address


@attrs.frozen
class Service:
    """A plain service, its hosts and its operations."""

    name: str = attrs.field(validator=validators.name)
    servers: tuple[Server, ...]
    operations: tuple[Operation, ...]


@attrs.frozen
class Policy:
    """Names of the registered policies that the bundle chooses."""

    order: str = 'least_attained'
    placement: str = 'affinity_by_cost'
    limit: str = 'aimd'
    admission: str = 'by_program'
    between_tokens_target_ms: int = 45
    """Longest mean time between tokens that an engine should show."""


@attrs.frozen
class Bundle:
    """Everything that operators sign off and roll as one unit."""

    version: int = attrs.field(validator=validators.at_least(1))
    ranks: tuple[Rank, ...] = attrs.field(validator=validators.not_empty)
    programs: tuple[ProgramKind, ...]
    models: tuple[Model, ...]
    services: tuple[Service, ...]
    policy: Policy = attrs.Factory(Policy)

    def rank_position(self, name: str) -> int:
        """Return a rank's place, 0 for the most urgent."""
        return [rank.name for rank in self.ranks].index(name)


Named = TypeVar('Named')


def find(named: Iterable[Named], name: str, noun: str) -> Named:
    """Return the member called ``name``.

    :raises BadRequestError: there is none.
    """
    for member in named:
        if member.name == name:
            return member
    raise exceptions.BadRequestError(
        f'the bundle has no {noun} "{name}"', step='look up', peer=noun
    )
