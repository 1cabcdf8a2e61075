"""Index the charges of programs and the versions of their streams."""

from collections.abc import Mapping

import attrs

from carobfork.storage import messages, stream_indexes


@attrs.define
class _ProgramCharges:
    """The charges of a program, by attempt, and when they expire.

    :param segments: the files that hold them.
    """

    expires_ms: float
    charges: dict[str, tuple[int, bool]] = attrs.Factory(dict)
    segments: set[int] = attrs.Factory(set)


class ChargeIndex:
    """The charges on one disk. They take few bytes and stay in memory.

    :ivar streams: the versions that write the streams of charged attempts.
    """

    def __init__(self) -> None:
        """Create an empty index."""
        self.streams = stream_indexes.StreamIndex()
        self._programs: dict[str, _ProgramCharges] = {}

    @property
    def program_count(self) -> int:
        """The number of programs with charges."""
        return len(self._programs)

    def apply(
        self, charge: messages.Charge, segment: int, expires_ms: float
    ) -> None:
        """Add a charge; a settled one is final.

        :param segment: the file that holds it.
        :param expires_ms: until when the program's charges are kept at least.
        """
        self.streams.apply(charge, expires_ms)
        program = self._programs.setdefault(
            charge.program, _ProgramCharges(expires_ms)
        )
        program.expires_ms = max(program.expires_ms, expires_ms)
        program.segments.add(segment)
        known = program.charges.get(charge.attempt)
        if known is None or not known[1]:
            program.charges[charge.attempt] = (
                charge.tokens,
                charge.is_settled,
            )

    def get(self, program: str) -> Mapping[str, tuple[int, bool]]:
        """Return a program's charges by attempt."""
        known = self._programs.get(program)
        return known.charges if known else {}

    def covers(self, charge: messages.Charge) -> bool:
        """Return whether a charge and its stream bring nothing new."""
        if not self.streams.covers(charge):
            return False
        known = self.get(charge.program).get(charge.attempt)
        return known is not None and (known[1] or not charge.is_settled)

    def find(
        self, program: str, attempt: str, since_ms: float
    ) -> messages.Charge | None:
        """Return an attempt's charge that is kept as long as its program's.

        :param since_ms: the time from which on it is to be kept.
        """
        known = self._programs.get(program)
        if known is None or attempt not in known.charges:
            return None
        return messages.Charge(
            program,
            attempt,
            *known.charges[attempt],
            known.expires_ms - since_ms,
            self.streams.get(attempt),
        )

    def find_in_segment(
        self, segment: int, since_ms: float
    ) -> list[messages.Charge]:
        """Return the charges of all programs that have some in a file.

        :param since_ms: the time from which on they are to be kept.
        """
        return [
            self.find(name, attempt, since_ms)
            for name, program in self._programs.items()
            if segment in program.segments
            for attempt in program.charges
        ]

    def forget_segment(self, segment: int) -> None:
        """Forget a file whose charges have been written to another one."""
        for program in self._programs.values():
            program.segments.discard(segment)

    def expire(self, until_ms: float) -> list[str]:
        """Remove expired charges and return their attempts."""
        self.streams.expire(until_ms)
        expired: list[str] = []
        for name, program in list(self._programs.items()):
            if program.expires_ms < until_ms:
                self._programs.pop(name)
                expired.extend(program.charges)
        return expired
