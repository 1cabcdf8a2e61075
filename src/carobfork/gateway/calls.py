"""Define the call metadata that HTTP heads carry.

Callers describe a call in the headers of their request; backend servers
describe the result in the headers of their response.
"""

import attrs

_MIN_FINAL_STATUS = 200


@attrs.frozen
class Call:
    """One attempt of a caller, decoded from the request's headers.

    :param attempt: identifier of the attempt; each retry has its own.
    :param deadline_ms: how long the caller waits for the answer, if known.
    :param program: the program that the call belongs to, if any.
    :param session: the conversation within the program.
    :param program_deadline_ms: time left until the program should be
        finished, if known.
    :param budget_tokens: tokens that all turns of the program together may
        generate, if limited.
    :param prompt_tokens: length of the prompt.
    :param output_tokens: maximum number of tokens that the call generates.
    :param previous_turn: the attempt of the turn that this one continues.
    :param last_event: identifier of the last event that the caller received,
        if it resumes a stream.
    :param resumes: the attempt that brought the stream's first event to the
        caller, if it resumes a stream.
    :param affinity: key that places a call without a prompt; calls with the
        same key prefer the same backend server.
    :param prefix: identifiers and lengths of the prompt's shared parts.
    :param keys: the keys that tell which tenant the caller belongs to; there
        should be at most one. They are never shown.
    :param tenant: name of that tenant, once it is known.
    """

    attempt: str
    deadline_ms: float | None = None
    program: str = ''
    session: str = ''
    program_deadline_ms: float | None = None
    budget_tokens: int | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    previous_turn: str = ''
    last_event: str = ''
    resumes: str = ''
    affinity: str = ''
    prefix: tuple[tuple[str, int], ...] = ()
    keys: tuple[str, ...] = attrs.field(default=(), repr=False)
    tenant: str = ''

    @property
    def home_key(self) -> str:
        """What its home worker is derived from; empty if it has no home."""
        return self.program if self.prompt_tokens else self.affinity


@attrs.frozen
class ServerLoad:
    """The load that a backend server reports.

    :param running: number of running calls.
    :param waiting: number of waiting calls.
    :param slots: number of calls that it runs at a time.
    :param time_ratio: how long work takes on its machine at the moment,
        relative to the usual time, if reported.
    """

    running: int
    waiting: int
    slots: int
    time_ratio: float | None = None


@attrs.frozen
class ServerAnswer:
    """The metadata in the head of a backend server's response.

    :param status: the HTTP status code.
    :param attempt: the attempt that the response belongs to, if named.
    :param not_run: whether the server declares that it did not run the call.
    :param is_elsewhere: whether another server has taken over the address.
    :param is_encoded: whether the body has a content encoding.
    :param load: the server's load, if reported.
    :param limit_per_s: requests a second that the server takes from all hosts
        together, if it names a limit.
    :param idle_ms: how long the server keeps an idle connection open, if
        reported.
    :param instance: the server that answers for its health, if named.
    :param is_leaving: whether the server says that it leaves.
    """

    status: int
    attempt: str
    not_run: bool = False
    is_elsewhere: bool = False
    is_encoded: bool = False
    load: ServerLoad | None = None
    limit_per_s: float | None = None
    idle_ms: float | None = None
    instance: str = ''
    is_leaving: bool = False

    @property
    def is_informational(self) -> bool:
        """Whether the final response is yet to come, and there is no body."""
        return self.status < _MIN_FINAL_STATUS

    def tells_leaving(self, instance: str) -> bool:
        """Return whether it tells that a server leaves.

        :param instance: the server that was asked. Another one that has taken
            its address tells of itself only.
        """
        is_own = not self.instance or self.instance == instance
        return self.is_leaving and is_own and not self.is_elsewhere

    def is_for(self, attempt: str, *, is_first: bool) -> bool:
        """Return whether the response answers an attempt.

        A server that did not run the call may omit the attempt. On a
        connection that has carried other answers, that may as well be a copy
        of an earlier refusal.

        :param attempt: identifier of the expected attempt.
        :param is_first: whether it is the first response on its connection.
        """
        if self.not_run and not self.attempt:
            return is_first
        return self.attempt == attempt
