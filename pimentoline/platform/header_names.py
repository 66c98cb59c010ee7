"""pimentoline.platform.header_names: names of the platform's HTTP headers."""

from ..twohop.header_names import HeaderNames

__all__ = ["HEADER_NAMES"]

HEADER_NAMES = HeaderNames(
    request_id="X-Request-Id",
    deadline_ms="X-Deadline-Ms",
    response_stamp="X-Response-Stamp",
    expect_target="X-Expect-Instance",
    not_run="X-Not-Executed",
    target_id="X-Instance-Id",
    load="X-Server-Load",
    caller_service="X-Caller-Service",
    rate_limit="Server-Limit",
    leaving="Server-Leaving",
)
