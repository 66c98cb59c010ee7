"""pimentoline.twohop.header_names: names of the HTTP headers that nodes use."""

from dataclasses import dataclass

__all__ = ["HeaderNames"]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers on requests and responses of callers and targets.

    Attributes
    ----------
    request_id : str
        Request id chosen by the caller; the response repeats it.
    deadline_ms : str
        Time that remains until the deadline of the request, milliseconds.
    response_stamp : str
        Its presence proves that the target itself produced the response.
    expect_target : str
        Id of the only target that may run the request.
    not_run : str
        Marks the response of a target that has not run the request.
    target_id : str
        Id of the target, on its response to a health check.
    load : str
        Load of the target, as integers separated by commas: number of running requests,
        of waiting requests and of slots, and the current duration of its work in
        percent of the usual duration.
    caller_service : str
        Service that the request comes from.
    rate_limit : str
        Requests a second that the target takes from all nodes together, a decimal
        number, for as long as its responses say so.
    leaving : str
        Its value is 1 in the responses of a target that is leaving.
    """

    request_id: str = "X-Request-Id"
    deadline_ms: str = "X-Deadline-Ms"
    response_stamp: str = "X-Answer-Stamp"
    expect_target: str = "X-Expect-Target"
    not_run: str = "X-Not-Run"
    target_id: str = "X-Target-Id"
    load: str = "X-Target-Load"
    caller_service: str = "X-Caller-Service"
    rate_limit: str = "X-Target-Limit"
    leaving: str = "X-Target-Leaving"
