"""pimentoline.twohop.header_names: names of the headers that nodes read and write."""

from dataclasses import dataclass

__all__ = ["HeaderNames"]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names towards callers and targets.

    Attributes
    ----------
    response_stamp : str
        Proof on an answer that the target made it.
    expect_target : str
        Names the only target that may run the request.
    not_run : str
        Marks an answer of a target that has not run the request.
    target_id : str
        Id of a target, on its answer to a health check.
    load : str
        Running, waiting, slots and, in percent, how long work takes at the moment.
    """

    request_id: str = "X-Request-Id"
    deadline_ms: str = "X-Deadline-Ms"
    response_stamp: str = "X-Answer-Stamp"
    expect_target: str = "X-Expect-Target"
    not_run: str = "X-Not-Run"
    target_id: str = "X-Target-Id"
    load: str = "X-Target-Load"
    caller_service: str = "X-Caller-Service"
