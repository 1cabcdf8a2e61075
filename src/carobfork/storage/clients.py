"""Read and write turns and budgets on a quorum of store hosts.

A turn is acknowledged once a write quorum of store hosts has synced it. A
budget's charges are read from a quorum that intersects every other quorum, so
two entry hosts cannot both reserve a program's last tokens.
"""

import zlib
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

import attrs
import gevent
import structlog

from carobfork import clock, exceptions
from carobfork.storage import (
    chains,
    groups,
    links,
    messages,
    operations,
    part_clients,
    stream_indexes,
)

OPERATION_TIMEOUT_MS = 1200
"""Bound on one operation; exceeds the silence that marks a link as lost."""
BEGIN_RETRY_WINDOW_MS = 400
"""Time after a disconnect, or after this host's start, in which a turn may
wait for another link or a new group. Later a turn without a quorum is refused
at once, because its caller can use another entry host."""
RETRY_AFTER_MS = 300
"""Delay suggested to callers: a lost connection is usually open again, or the
group has changed, within this time."""
EPOCH_POLL_INTERVAL_MS = 50
"""How often a pending operation checks whether the group has changed."""
SLOW_REPLY_MS = 150
"""Time without a quorum after which silent members are probed. It covers many
round trips and syncs; without a probe, a host that is cut off would notice it
with a heartbeat only, and its callers would wait for that."""
MAX_SETTLE_TRIES = 4
SETTLE_RETRY_INTERVAL_MS = 150
"""Delay between tries. All tries and delays together take less than the time
allowed to settle a turn."""
_STEP = 'storage'

logger = structlog.get_logger(part='storage')


@attrs.frozen
class QuorumReplies:
    """Replies of a quorum, by the members' disks."""

    replies: dict[str, Any]


class Client:
    """A client of the storage group.

    :ivar chains: reads the turns before a request.
    :ivar parts: stores and reads the parts of streams.
    :param member_links: links to the group's store hosts.
    :param losses: number of disks that may be lost at the same time.
    :param node: this host's name; it seeds the order in which members are
        preferred, so that entry hosts spread over the members.
    :param zone: this host's failure domain, preferred for reads.
    :param timer: measures waits.
    """

    def __init__(
        self,
        member_links: links.Links,
        losses: int,
        node: str,
        zone: str,
        timer: clock.Clock,
    ) -> None:
        """Create a client that knows no group yet."""
        self.group = groups.Group()
        self._links = member_links
        self._losses = losses
        self._node_checksum = zlib.crc32(node.encode())
        self._zone = zone
        self._timer = timer
        self.chains = chains.ChainReader(
            member_links, self.nearest_disk, self._align_epochs, timer
        )
        self.parts = part_clients.PartClient(self._run_on_all)

    def apply(self, group: groups.Group) -> None:
        """Adopt a group unless one at least as new is known."""
        if group.epoch <= self.group.epoch:
            return
        logger.info(
            'storage group',
            epoch=group.epoch,
            members=[member.node for member in group.members],
            following=[member.node for member in group.following],
        )
        self.group = group
        self._links.apply(group)

    @property
    def has_quorum(self) -> bool:
        """Whether the connected members form a write quorum."""
        quorum = groups.Quorum(self.group, self._losses)
        return quorum.is_write_quorum(self._links.connected_disks())

    def begin(self, message: messages.Begin) -> messages.Begun:
        """Reserve tokens and read a program's state.

        The charges of all replies are merged; a settled charge wins over a
        reservation. Of the versions of a stream, the last choice is returned.
        Of a long chain, the turns are returned, to be read in pages.

        :raises NotRunError: if too few members reply.
        :raises UnknownProgramError: if no member of the quorum knows the
            previous turn.
        """

        def compose() -> dict[str, Any]:  # noqa: WPS430
            nearest = self.nearest_disk()
            return {
                disk: attrs.evolve(
                    message,
                    wants_details=disk == nearest,
                    max_chain_bytes=chains.MAX_INLINE_BYTES,
                )
                for disk in self.group.all_members()
            }

        quorum_replies = self._run_operation(
            compose,
            is_read=True,
            until_ms=self._links.last_disconnect_ms + BEGIN_RETRY_WINDOW_MS,
        )
        merged = _merge_replies(quorum_replies.replies.values())
        if not merged.knows_previous:
            raise exceptions.UnknownProgramError('no such turn', step=_STEP)
        turns, chain = self.chains.list_turns(merged.missing)
        if chain:
            listed = b''.join(self.chains.read_pages(merged.turns))
            return attrs.evolve(
                merged, turns=turns, chain=chain + listed + merged.chain
            )
        return attrs.evolve(merged, turns=[*turns, *merged.turns])

    def read_pages(
        self, stored: Iterable[messages.TurnLength]
    ) -> Iterator[bytes]:
        """Yield the bytes of turns in pages of bounded length.

        :raises NotRunError: if no reachable member holds one of the turns.
        """
        yield from self.chains.read_pages(stored)

    def change_version(self, message: messages.Begin) -> None:
        """Record that servers of another version write an attempt's stream.

        :raises NotRunError: if too few members reply, or one does not keep
            the versions of streams: a record of the version before would hold.
        """
        operation = self._run_operation(
            lambda: dict.fromkeys(self.group.all_members(), message),
            is_read=False,
            until_ms=self._timer.now_ms() + OPERATION_TIMEOUT_MS,
        )
        unaware = [
            disk
            for disk, begun in operation.replies.items()
            if begun.stream != message.charge.stream
        ]
        if unaware:
            raise exceptions.NotRunError(
                f'store hosts {unaware} do not keep {message.charge.stream}',
                step=_STEP,
            )

    def finish(self, message: messages.Finish) -> None:
        """Store a turn and settle its attempt.

        :raises NotRunError: if too few members have synced the records.
        """
        self._run_operation(
            lambda: dict.fromkeys(self.group.all_members(), message),
            is_read=False,
            until_ms=self._timer.now_ms() + OPERATION_TIMEOUT_MS,
        )

    def settle(self, message: messages.Finish) -> None:
        """Settle an attempt, with a few retries.

        An attempt that can't be settled stays charged with the most tokens
        that it could generate.
        """
        for _ in range(MAX_SETTLE_TRIES):
            try:
                return self.finish(message)
            except exceptions.NotRunError as error:
                logger.info(
                    'charge not settled',
                    attempt=message.charge.attempt,
                    reason=error.message,
                )
            gevent.sleep(clock.to_seconds(SETTLE_RETRY_INTERVAL_MS))

    def place(self, attempt: str, worker: str) -> None:
        """Tell all members which backend server a turn runs on.

        Returns without waiting for replies.
        """
        for link in self._links.all():
            link.send_request(
                messages.Place(attempt, worker), operations.ignore_reply
            )

    def nearest_disk(self) -> str:
        """Return the preferred disk for requests that need only one member.

        Connected members are preferred over members that are still joining,
        and the own failure domain over others. Returns an empty string if no
        link is connected.
        """
        usable = [link for link in self._links.all() if link.is_connected]
        usable = [
            link
            for link in usable
            if self.group.has_member_disk(link.member.disk)
        ] or usable
        same_zone = [link for link in usable if link.member.zone == self._zone]
        disks = [link.member.disk for link in same_zone or usable]
        return min(
            disks,
            key=lambda disk: zlib.crc32(disk.encode(), self._node_checksum),
            default='',
        )

    def read_chain(self, turn: str) -> bytes:
        """Return a turn and all turns before it, oldest first.

        :param turn: the attempt of the last turn; may be empty.
        :raises NotRunError: if no reachable member holds one of the turns.
        """
        turns, chain = self.chains.list_turns(turn)
        return b''.join(self.chains.read_pages(turns)) + chain

    def _align_epochs(
        self, link: links.Link, refused: messages.Refused
    ) -> None:
        """Adopt a member's newer group, or send it the one known here."""
        if refused.reason == 'stale':
            self.apply(refused.group)
        elif refused.reason == 'behind':
            link.send_request(
                messages.Adopt(self.group), operations.ignore_reply
            )

    def _run_on_all(self, message: Any, is_read: bool) -> dict[str, Any]:
        """Return the replies of a quorum to a request that all members get.

        :raises NotRunError: if too few members reply.
        """
        operation = self._run_operation(
            lambda: dict.fromkeys(self.group.all_members(), message),
            is_read,
            until_ms=self._links.last_disconnect_ms + BEGIN_RETRY_WINDOW_MS,
        )
        return operation.replies

    def _run_operation(
        self,
        compose: Callable[[], dict[str, Any]],
        is_read: bool,
        until_ms: float,
    ) -> QuorumReplies:
        """Send requests until a quorum replies.

        The requests are sent again if the group or the links change.

        :param compose: returns the request to each member of the group that
            is known at the time, by disk.
        :param is_read: whether a read quorum is needed as well.
        :param until_ms: latest time to wait for such a change.
        :raises NotRunError: if no quorum replies in time.
        """
        started_ms = self._timer.now_ms()
        while True:
            self._links.wait_for_opening()
            epoch = self.group.epoch
            operation = operations.Operation(self.group, self._losses, is_read)
            operation.send(self._links, compose())
            if self._await_quorum(
                operation, epoch, started_ms + OPERATION_TIMEOUT_MS
            ):
                return QuorumReplies(operation.replies)
            for refused in operation.refused.values():
                self.apply(refused.group)
            is_over = self._timer.now_ms() > started_ms + OPERATION_TIMEOUT_MS
            if is_over or not self._wait_for_change(epoch, until_ms):
                raise exceptions.NotRunError(
                    f'too few store hosts answered: {operation.describe()}',
                    step=_STEP,
                    retry_after_ms=RETRY_AFTER_MS,
                )

    def _wait_for_change(self, epoch: int, until_ms: float) -> bool:
        """Return whether a newer group or another link came up in time."""
        before = self._links.connected_disks()
        if self.group.epoch == epoch:
            self._links.probe()
        while self.group.epoch == epoch:
            if self._links.connected_disks() - before:
                return True
            if self._timer.now_ms() > until_ms:
                return False
            gevent.sleep(clock.to_seconds(EPOCH_POLL_INTERVAL_MS))
        return True

    def _await_quorum(
        self, operation: operations.Operation, epoch: int, until_ms: float
    ) -> bool:
        """Return whether a quorum replied before the group changed."""
        started_ms = self._timer.now_ms()
        has_probed = False
        while not operation.wait(EPOCH_POLL_INTERVAL_MS):
            waited_ms = self._timer.now_ms() - started_ms
            if waited_ms > SLOW_REPLY_MS and not has_probed:
                has_probed = True
                self._links.probe_silent(SLOW_REPLY_MS)
            is_changed = self.group.epoch != epoch
            is_late = self._timer.now_ms() > until_ms
            if is_changed or is_late or operation.cannot_succeed():
                return False
        return True


def _merge_replies(replies: Iterable[messages.Begun]) -> messages.Begun:
    """Merge the replies of all members; the longest chain is kept."""
    charges: dict[str, tuple[int, bool]] = {}
    knows_previous = False
    open_turns = None
    crash_weights: dict[str, int] = {}
    streams = []
    longest = messages.Begun({})
    for begun in replies:
        open_turns = open_turns or begun.open_turns
        _raise_weights(crash_weights, begun.crash_weights)
        if begun.stream is not None:
            streams.append(begun.stream)
        knows_previous = knows_previous or begun.knows_previous
        if _chain_bytes(begun) >= _chain_bytes(longest):
            longest = begun
        updates = {
            attempt: charge
            for attempt, charge in begun.charges.items()
            # A settled charge is final; a reservation may be outdated.
            if charge[1] or attempt not in charges
        }
        charges.update(updates)
    return attrs.evolve(
        longest,
        charges=charges,
        knows_previous=knows_previous,
        open_turns=open_turns,
        crash_weights=crash_weights,
        stream=max(streams, key=stream_indexes.number_of, default=None),
    )


def _chain_bytes(begun: messages.Begun) -> int:
    """Return the length of the chain that a member holds."""
    return len(begun.chain) + sum(turn.length for turn in begun.turns)


def _raise_weights(merged: dict[str, int], weights: Mapping[str, int]) -> None:
    """Keep the larger weight of each fingerprint."""
    for fingerprint, weight in weights.items():
        merged[fingerprint] = max(merged.get(fingerprint, 0), weight)
