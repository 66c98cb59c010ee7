"""pimentoline.platform.header_names: header names of the platform."""

from ..twohop.dialect import Dialect

__all__ = ["DIALECT"]

DIALECT = Dialect(
    request_id="X-Request-Id",
    deadline_ms="X-Deadline-Ms",
    stamp="X-Response-Stamp",
    expect_target="X-Expect-Instance",
    not_run="X-Not-Executed",
    target_id="X-Instance-Id",
    load="X-Server-Load",
    caller_service="X-Caller-Service",
)
