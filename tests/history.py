"""Records calls of concurrent callers and checks them against the targets' runs.

The checks cover these guarantees of the system:

P2
    A response is complete and belongs to its own request.
P3
    No target ran a request that was reported to its caller as not run.
P4
    No keyed or non-idempotent operation runs more than once.
P6
    A planned stop of a node or target interrupts no call.

The argument `runs` of a check lists the run ids that the targets report, one for each
run, so that a request that ran twice is listed twice. Each check returns a list with a
description of each violation.
"""

import http.client
import itertools
import json
import threading
import time
from collections import Counter, defaultdict
from dataclasses import dataclass

ANSWERED = "answered"
REFUSED = "refused"
# The caller got no complete response, so the request may have run or may still run.
UNKNOWN = "unknown"


@dataclass(frozen=True)
class Attempt:
    """One request of a caller for an operation, and its outcome.

    Attributes
    ----------
    op : str
        Id of the operation, which its attempts share.
    run_id : str
        Id of this attempt.
    node : str
        Name of the node that the request was sent to.
    keyed : bool
        Whether the attempt has an idempotency key, which is `op`.
    invoked, completed : float
        Monotonic times at which the caller started and ended the request, seconds.
    outcome : str
        `ANSWERED`; `REFUSED` if the node accepted no connection; or `UNKNOWN`.
    status : int
        Status of the response, 0 without a response.
    verdict : str
        Value of the header `X-Verdict`, empty if the response has none.
    replayed : bool
        Whether the node sent the recorded response of an earlier attempt.
    request_bytes, response_bytes : int
        Length of the request body, and requested length of the response body. If
        `response_bytes` is 0, the target responds with a JSON report of the request,
        which contains its run id and the number of body bytes received.
    """

    op: str
    run_id: str
    node: str
    method: str
    keyed: bool
    invoked: float
    completed: float
    outcome: str
    status: int = 0
    verdict: str = ""
    replayed: bool = False
    body: bytes = b""
    request_bytes: int = 0
    response_bytes: int = 0


def make_body(run_id, size):
    """Return a body of `size` bytes that is unique to a request."""
    pattern = f"{run_id}|".encode()
    return (pattern * (size // len(pattern) + 1))[:size]


class History:
    """Attempts of all callers in the order of completion; safe for threads."""

    def __init__(self):
        self.attempts = []
        self._lock = threading.Lock()
        self._ids = itertools.count(1)

    def call(
        self,
        node,
        addr,
        op,
        method="GET",
        keyed=False,
        response_bytes=0,
        request_bytes=0,
        **headers,
    ):
        """Send one request to a node; record and return the attempt.

        `node` is the name of the node and `addr` the address of its data port.
        """
        with self._lock:
            run_id = f"{op}.{next(self._ids)}"
        headers = {"Host": "hive-ledger", "X-Run-Id": run_id, **headers}
        if keyed:
            headers["Idempotency-Key"] = op
        invoked = time.monotonic()
        result = {"outcome": UNKNOWN}
        timeout_s = int(headers.setdefault("X-Deadline-Ms", "3000")) / 1000 + 0.3
        conn = http.client.HTTPConnection(*addr, timeout=timeout_s)
        try:
            conn.connect()
        except OSError:
            result = {"outcome": REFUSED}
        else:
            try:
                body = make_body(run_id, request_bytes) if request_bytes else None
                conn.request(method, f"/work?fill={response_bytes}", body, headers)
                response = conn.getresponse()
                result = {
                    "body": response.read(),
                    "outcome": ANSWERED,
                    "status": response.status,
                    "verdict": response.getheader("X-Verdict", ""),
                    "replayed": response.getheader("X-Replayed") == "1",
                }
            except (OSError, http.client.HTTPException):
                pass
        finally:
            conn.close()
        attempt = Attempt(
            op,
            run_id,
            node,
            method,
            keyed,
            invoked,
            time.monotonic(),
            request_bytes=request_bytes,
            response_bytes=response_bytes,
            **result,
        )
        with self._lock:
            self.attempts.append(attempt)
        return attempt


def check_responses(attempts):
    """Check P2: a response is complete and belongs to its own request.

    Only responses with status 200 are checked. A replayed response may be of another
    request of the same operation.
    """
    violations = []
    for attempt in attempts:
        if attempt.outcome != ANSWERED or attempt.status != 200:
            continue
        if attempt.response_bytes and not attempt.replayed:
            if attempt.body != make_body(attempt.run_id, attempt.response_bytes):
                violations.append(
                    f"{attempt.run_id}: wrong body of {len(attempt.body)} bytes"
                )
            continue
        try:
            reported = json.loads(attempt.body)
        except ValueError:
            violations.append(f"{attempt.run_id}: truncated body {attempt.body[:40]!r}")
            continue
        run_id = str(reported["run"])
        is_own_run = (
            run_id.startswith(f"{attempt.op}.")
            if attempt.replayed
            else run_id == attempt.run_id
        )
        if not is_own_run or reported["received"] != attempt.request_bytes:
            violations.append(
                f"{attempt.run_id}: response of {run_id}, {reported['received']} bytes"
            )
    return violations


def check_not_run(attempts, runs):
    """Check P3: no target ran a request that was reported to its caller as not run."""
    ran = set(runs)
    return [
        f"{attempt.run_id}: reported as not-run, but ran"
        for attempt in attempts
        if (attempt.verdict == "not-run" or attempt.outcome == REFUSED)
        and attempt.run_id in ran
    ]


def check_runs_at_most_once(attempts, runs):
    """Check P4: no keyed or non-idempotent operation runs more than once.

    The runs of all attempts of a keyed operation are summed, whatever their outcomes.
    An attempt without a key counts as an operation of its own.
    """
    counts = Counter(runs)
    run_ids = defaultdict(set)
    for attempt in attempts:
        if attempt.method not in ("GET", "HEAD", "OPTIONS"):
            run_ids[attempt.op if attempt.keyed else attempt.run_id].add(attempt.run_id)
    violations = []
    for operation, attempt_ids in run_ids.items():
        total = sum(counts[run_id] for run_id in attempt_ids)
        if total > 1:
            violations.append(f"{operation}: ran {total} times")
    return violations


def check_responses_have_runs(attempts, runs):
    """Check P2, P4: each 200 response is of a request that ran, or a replay of one."""
    ran = set(runs)
    ops = {run_id.rpartition(".")[0] for run_id in ran}
    return [
        f"{attempt.run_id}: answered 200 without a run"
        for attempt in attempts
        if attempt.outcome == ANSWERED
        and attempt.status == 200
        and not (attempt.op in ops if attempt.replayed else attempt.run_id in ran)
    ]


def check_no_interruption(attempts):
    """Check P6: a planned stop of a node or target interrupts no call.

    Each accepted request must have got a complete response below status 500.
    """
    return [
        f"{attempt.run_id} at {attempt.node}: "
        f"{attempt.outcome} {attempt.status} {attempt.verdict}"
        for attempt in attempts
        if attempt.outcome == UNKNOWN
        or (attempt.outcome == ANSWERED and attempt.status >= 500)
    ]


def check_all(attempts, runs):
    """Return all violations of P2, P3 and P4."""
    return [
        *check_responses(attempts),
        *check_not_run(attempts, runs),
        *check_runs_at_most_once(attempts, runs),
        *check_responses_have_runs(attempts, runs),
    ]
