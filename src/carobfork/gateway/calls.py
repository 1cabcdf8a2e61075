"""Calls: what a caller's request says about itself."""

import attrs


@attrs.frozen
class Call:
    """One attempt of a caller, decoded from its headers.

    :param attempt: identifies the attempt; each retry has its own.
    :param deadline_ms: how long the caller waits, if it says so.
    :param program: the program that the call belongs to, if any.
    :param session: the line of turns within the program.
    :param finish_ms: time left until the program should be finished.
    :param budget_tokens: tokens that all turns of the program may generate.
    :param prompt_tokens: length of the prompt.
    :param output_tokens: most tokens that the call generates.
    :param previous_turn: the attempt of the turn that this one continues.
    :param last_event: the last event that the caller has, if it resumes.
    :param prefix: identifiers and lengths of the prompt's shared parts.
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
    affinity: str = ''
    prefix: tuple[tuple[str, int], ...] = ()


@attrs.frozen
class ServerAnswer:
    """What a backend server's response head says about itself.

    :param attempt: the attempt that it answers.
    :param not_run: whether the server says that it did not run the call.
    :param is_elsewhere: whether another server has the address now.
    :param load: running calls, waiting calls and slots, if told.
    :param idle_ms: how long the server keeps the connection, if told.
    """

    status: int
    attempt: str
    not_run: bool = False
    is_elsewhere: bool = False
    is_encoded: bool = False
    load: tuple[int, int, int] | None = None
    idle_ms: float | None = None

    def is_for(self, attempt: str) -> bool:
        """Tell whether this answers an attempt.

        A server that did not run a call may leave the attempt out.
        """
        if self.not_run and not self.attempt:
            return True
        return self.attempt == attempt
