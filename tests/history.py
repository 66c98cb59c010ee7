"""Histories of concurrent calls: recorded by callers, checked against the targets.

A `Try` is one request of a caller and what the caller learned of it. `UNKNOWN` is an
outcome of its own: the caller saw no complete answer, so the request may have run or
may yet run. The checks return descriptions of violations, an empty list if none.
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
UNKNOWN = "unknown"


@dataclass(frozen=True)
class Try:
    """One request of a caller.

    `run_id` names this request alone; `op` is shared by the tries of one operation,
    which have one idempotency key if `keyed`.
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
    sent: int = 0
    fill: int = 0


def fill_body(run_id, size):
    """Return a body of `size` bytes that belongs to one request only."""
    pattern = f"{run_id}|".encode()
    return (pattern * (size // len(pattern) + 1))[:size]


class History:
    """Tries in the order of their completion, recorded by many threads."""

    def __init__(self):
        self.tries = []
        self._lock = threading.Lock()
        self._ids = itertools.count(1)

    def call(self, node, addr, op, method="GET", keyed=False, fill=0, sent=0, **more):
        """Send one request to a node and record what became of it."""
        with self._lock:
            run_id = f"{op}.{next(self._ids)}"
        headers = {"Host": "hive-ledger", "X-Run-Id": run_id, **more}
        if keyed:
            headers["Idempotency-Key"] = op
        invoked = time.monotonic()
        known = {"outcome": UNKNOWN}
        timeout = int(headers.setdefault("X-Deadline-Ms", "3000")) / 1000 + 0.3
        conn = http.client.HTTPConnection(*addr, timeout=timeout)
        try:
            conn.connect()
        except OSError:
            known = {"outcome": REFUSED}
        else:
            try:
                body = fill_body(run_id, sent) if sent else None
                conn.request(method, f"/work?fill={fill}", body, headers)
                answer = conn.getresponse()
                known = {
                    "body": answer.read(),
                    "outcome": ANSWERED,
                    "status": answer.status,
                    "verdict": answer.getheader("X-Verdict", ""),
                    "replayed": answer.getheader("X-Replayed") == "1",
                }
            except (OSError, http.client.HTTPException):
                pass
        finally:
            conn.close()
        done = Try(
            op,
            run_id,
            node,
            method,
            keyed,
            invoked,
            time.monotonic(),
            sent=sent,
            fill=fill,
            **known,
        )
        with self._lock:
            self.tries.append(done)
        return done


def whole_and_own(tries):
    """P2: a good answer is complete and belongs to its own request (or operation)."""
    found = []
    for item in tries:
        if item.outcome != ANSWERED or item.status != 200:
            continue
        if item.fill and not item.replayed:
            if item.body != fill_body(item.run_id, item.fill):
                found.append(f"{item.run_id}: wrong body of {len(item.body)} bytes")
            continue
        try:
            said = json.loads(item.body)
        except ValueError:
            found.append(f"{item.run_id}: cut body {item.body[:40]!r}")
            continue
        mine = str(said["run"])
        own = mine.startswith(f"{item.op}.") if item.replayed else mine == item.run_id
        if not own or said["received"] != item.sent:
            found.append(f"{item.run_id}: answer of {mine}, {said['received']} bytes")
    return found


def not_run_is_true(tries, runs):
    """P3: a request that the caller was told had not run is in no target's runs."""
    ran = set(runs)
    return [
        f"{item.run_id}: told not-run, but ran"
        for item in tries
        if (item.verdict == "not-run" or item.outcome == REFUSED) and item.run_id in ran
    ]


def at_most_once(tries, runs):
    """P4: a keyed operation runs once, and so does each request that is not repeatable.

    Tries of the same keyed operation count together, whatever their outcomes.
    """
    counts = Counter(runs)
    groups = defaultdict(set)
    for item in tries:
        if item.method not in ("GET", "HEAD", "OPTIONS"):
            groups[item.op if item.keyed else item.run_id].add(item.run_id)
    found = []
    for name, members in groups.items():
        total = sum(counts[run_id] for run_id in members)
        if total > 1:
            found.append(f"{name}: ran {total} times")
    return found


def answers_are_of_runs(tries, runs):
    """P2, P4: a good answer belongs to a request that ran, or replays one that did."""
    ran = set(runs)
    ops = {run_id.rpartition(".")[0] for run_id in ran}
    return [
        f"{item.run_id}: answered 200 without a run"
        for item in tries
        if item.outcome == ANSWERED
        and item.status == 200
        and not (item.op in ops if item.replayed else item.run_id in ran)
    ]


def nothing_was_cut(tries):
    """P6: every request that was accepted got a complete answer that is no error."""
    return [
        f"{item.run_id} at {item.node}: {item.outcome} {item.status} {item.verdict}"
        for item in tries
        if item.outcome == UNKNOWN or (item.outcome == ANSWERED and item.status >= 500)
    ]


def check(tries, runs):
    """Return every violation of P2, P3 and P4."""
    return [
        *whole_and_own(tries),
        *not_run_is_true(tries, runs),
        *at_most_once(tries, runs),
        *answers_are_of_runs(tries, runs),
    ]
