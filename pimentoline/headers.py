"""pimentoline.headers: checks, parses and forwards HTTP request and response heads."""

import re

from tornado.httputil import HTTPHeaders

from .model import Request

__all__ = [
    "RequestError",
    "check_framing",
    "check_size",
    "end_to_end_headers",
    "forwarded_request_headers",
    "forwarded_response_headers",
    "is_final_status",
    "parse_load",
    "parse_request",
]

# Larger request heads are answered with status 431. tornado's own limit is higher,
# because tornado closes the connection without a response.
MAX_HEAD_BYTES = 64 * 1024
MAX_KEY_CHARS = 255
CALL_CLASSES = ("critical", "normal", "sheddable")
# Methods for which tornado's client can send a chunked body.
CHUNKED_METHODS = ("POST", "PUT", "PATCH")

HOP_BY_HOP = frozenset(
    {
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    }
)
# Headers that are forwarded even if a `Connection` header names them, because the
# framing and the routing of the message depend on them.
PROTECTED = frozenset({"Content-Length", "Host"})
# The node handles `Expect` itself.
DROPPED_FROM_REQUEST = HOP_BY_HOP | {"Expect"}
# Only this node may set these; a target may have copied them from the response of
# another node.
DROPPED_FROM_RESPONSE = HOP_BY_HOP | {
    "X-Error-Code",
    "X-Not-Run",
    "X-Replay-Truncated",
    "X-Replayed",
    "X-Verdict",
}

SERVICE_PATTERN = re.compile(r"[a-z0-9-]{1,63}")
NUMBER_PATTERN = re.compile(r"[0-9]{1,9}")
LENGTH_PATTERN = re.compile(r"[0-9]{1,15}")
KEY_PATTERN = re.compile(r"[!-~]{1,%d}" % MAX_KEY_CHARS)


class RequestError(ValueError):
    """Rejects a request because of its head, before it is sent to a target."""

    def __init__(self, status, code, detail):
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail


def is_final_status(status):
    """Return whether an integer is the status of a response that is not interim."""
    return 200 <= status <= 599


def _bad_request(detail):
    return RequestError(400, "bad-request", detail)


def _int_header(headers, name, default):
    text = headers.get(name)
    if text is None:
        return default
    if NUMBER_PATTERN.fullmatch(text) is None:
        raise _bad_request(
            f"{name} {text[:40]!r} is not a whole number of up to 9 digits"
        )
    return int(text)


def check_size(start_line, headers):
    """Reject a request head that is too large.

    Raises
    ------
    RequestError
    """
    size = len(start_line.path) + len(start_line.method)
    for name, value in headers.get_all():
        size += len(name) + len(value) + 4
    if size > MAX_HEAD_BYTES:
        raise RequestError(
            431, "head-too-large", f"request head is larger than {MAX_HEAD_BYTES} bytes"
        )


def check_framing(start_line, headers):
    """Return whether the request has a body; normalise its `Expect` header.

    Raises
    ------
    RequestError
        If the length of the body is missing or invalid, the body cannot be forwarded,
        or the `Expect` header is not supported.
    """
    expect = headers.get("Expect")
    if expect is not None:
        if expect.lower() != "100-continue":
            raise RequestError(
                417, "expectation-failed", f"Expect {expect[:40]!r} is not supported"
            )
        # tornado accepts the value in lower case only.
        headers["Expect"] = "100-continue"
    length = headers.get("Content-Length")
    coding = headers.get("Transfer-Encoding")
    if coding is not None:
        if length is not None:
            raise _bad_request("request has both Content-Length and Transfer-Encoding")
        if coding.lower() != "chunked":
            raise RequestError(
                501,
                "unknown-coding",
                f"transfer coding {coding[:40]!r} is not supported",
            )
        if start_line.method not in CHUNKED_METHODS:
            raise RequestError(
                411,
                "length-required",
                f"{start_line.method} with a chunked body is not supported",
            )
        return True
    if length is None:
        return False
    if LENGTH_PATTERN.fullmatch(length) is None:
        raise _bad_request(
            f"Content-Length {length[:40]!r} is not a whole number of up to 15 digits"
        )
    return int(length) > 0


def parse_request(start_line, headers, arrived, ruleset):
    """Return the `Request` for a request head.

    Parameters
    ----------
    start_line : RequestStartLine
    headers : HTTPHeaders
    arrived : float
        Monotonic time at which the request arrived, seconds.
    ruleset : RuleSet

    Raises
    ------
    RequestError
        If a header that the node uses has an invalid value.
    """
    host = headers.get("Host", "")
    service = host.partition(":")[0].partition(".")[0].lower()
    if SERVICE_PATTERN.fullmatch(service) is None or len(headers.get_list("Host")) > 1:
        raise _bad_request(f"Host {host[:80]!r} does not name a service")
    if start_line.method == "CONNECT":
        raise RequestError(501, "unknown-method", "CONNECT is not supported")
    path = start_line.path.partition("?")[0]
    policy = ruleset.call_policy(service, start_line.method, path)
    timeout_s = policy.deadline_s
    remaining_ms = _int_header(headers, "X-Deadline-Ms", None)
    if remaining_ms is not None:
        timeout_s = min(timeout_s, remaining_ms / 1000.0)
    call_class = policy.call_class or headers.get("X-Call-Class", "normal")
    if call_class not in CALL_CLASSES:
        raise _bad_request(f"X-Call-Class {call_class[:40]!r} is not a call class")
    key = headers.get("Idempotency-Key")
    if key is None:
        key = ""
    elif (
        KEY_PATTERN.fullmatch(key) is None
        or len(headers.get_list("Idempotency-Key")) > 1
    ):
        raise _bad_request(
            f"Idempotency-Key is not 1 to {MAX_KEY_CHARS} visible characters"
        )
    return Request(
        service,
        start_line.method,
        path,
        arrived + timeout_s,
        call_class,
        _int_header(headers, "X-Call-Depth", 0),
        _int_header(headers, "X-Retry-Attempt", 0),
        key,
    )


def end_to_end_headers(headers, dropped):
    """Return the headers that are neither `dropped` nor named by `Connection`."""
    if "Connection" in headers:
        named = {
            "-".join(part.capitalize() for part in name.strip().split("-"))
            for name in headers["Connection"].split(",")
        }
        dropped = dropped | (named - PROTECTED)
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        if name not in dropped:
            kept.add(name, value)
    return kept


def forwarded_request_headers(headers, req, has_body, retry, now):
    """Return the headers of a request to a target.

    Parameters
    ----------
    headers : HTTPHeaders
        As received from the caller.
    req : Request
    has_body : bool
    retry : bool
        Whether this node has already sent the call to a target.
    now : float
        Monotonic time, seconds.
    """
    kept = end_to_end_headers(headers, DROPPED_FROM_REQUEST)
    if not has_body and req.method in CHUNKED_METHODS:
        # tornado's client would otherwise add an empty chunked body.
        kept["Content-Length"] = "0"
    kept["X-Deadline-Ms"] = str(max(int((req.deadline - now) * 1000), 1))
    kept["X-Call-Class"] = req.call_class
    kept["X-Call-Depth"] = str(req.depth + 1)
    attempt = req.retry_attempt + 1 if retry else req.retry_attempt
    if attempt:
        kept["X-Retry-Attempt"] = str(attempt)
    return kept


def forwarded_response_headers(headers):
    """Return the headers of a target's response that are forwarded to the caller."""
    return end_to_end_headers(headers, DROPPED_FROM_RESPONSE)


def parse_load(text):
    """Return the number of requests in flight from `X-Target-Load`.

    The header value is `IN_FLIGHT/SLOTS`. Returns None if it is absent or malformed.
    """
    try:
        return float(text.split("/")[0]) if text else None
    except ValueError:
        return None
