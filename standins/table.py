"""Stand-in for the platform's transactional table service.

Protocol: `POST /v1/txn`, `GET /v1/rows/<key>`, `GET /v1/rows?prefix=&limit=`, see
docs/design.md. A request above the rate limit is rejected with status 429 before its
body is parsed, a malformed one with status 400.

Faults are set by `POST /faults` with a JSON object. It may have any of these keys;
faults that it leaves out keep their values:

down : bool
    Every request is rejected with status 503.
silent : bool
    Requests have no effect and get no response.
delay_s : float
    Time before a request takes effect, seconds.
lose_answers : int
    Number of further writes that take effect but whose responses are lost.
down_after_loss : bool
    The service goes down when it loses a response.
lose_requests : int
    Number of further writes that are lost before they take effect.
nonsense : str
    Key in `INVALID_BODIES` of the body that replaces the body of each successful
    response; empty for valid responses. Transactions take effect all the same.
writes_per_s, reads_per_s : float
    Limits of the request rates, per second.
"""

import asyncio
import json
import sys
import time
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, HTTPError, RequestHandler

# The platform allows several hundred writes/s and about 2,000 reads/s.
WRITES_PER_S = 400.0
READS_PER_S = 2000.0
MAX_SCAN_ROWS = 1000
MAX_KEY_CHARS = 512
MAX_BODY_BYTES = 16 * 1024 * 1024
HUGE_BODY_BYTES = 64 * 1024 * 1024
INVALID_BODIES = {
    "html": b"<html>gateway</html>",
    "shape": b'{"unexpected": []}',
    "types": b'{"key": 7, "version": "one", "value": null, "ok": "yes"}',
    "cut": b'{"key": "config/he',
    "huge": b"[" + b" " * HUGE_BODY_BYTES + b"]",
}


class TokenBucket:
    """Token bucket that holds at most the tokens added in one second."""

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        # None before the first request: the bucket starts full.
        self._tokens = None
        self._updated_at = clock()

    def take(self, rate_per_s):
        """Take a token if one is left; return whether the request is permitted.

        The bucket is filled at `rate_per_s` tokens per second.
        """
        now = self._clock()
        tokens = rate_per_s if self._tokens is None else self._tokens
        self._tokens = min(rate_per_s, tokens + (now - self._updated_at) * rate_per_s)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass
class Table:
    """Rows, injected faults and request counters of the table service.

    The docstring of this module describes the faults.

    Attributes
    ----------
    rows : dict
        Tuple (version, value) of each row, by key.
    reads, writes : int
        Number of reads and transactions executed.
    refused : int
        Number of requests rejected by the rate limits.
    """

    rows: dict = field(default_factory=dict)
    down: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    down_after_loss: bool = False
    lose_requests: int = 0
    nonsense: str = ""
    writes_per_s: float = WRITES_PER_S
    reads_per_s: float = READS_PER_S
    reads: int = 0
    writes: int = 0
    refused: int = 0
    read_bucket: TokenBucket = field(default_factory=TokenBucket)
    write_bucket: TokenBucket = field(default_factory=TokenBucket)

    def run_transaction(self, txn):
        """Execute a transaction if its checks hold.

        Parameters
        ----------
        txn : dict
            As `parse_txn` returns it.

        Returns
        -------
        dict
            JSON data of the response.
        """
        conflicts = [
            check["key"]
            for check in txn["checks"]
            if self.version(check["key"]) != check["version"]
        ]
        if conflicts:
            return {"ok": False, "versions": {}, "conflicts": conflicts}
        for put in txn["puts"]:
            key = put["key"]
            self.rows[key] = (self.version(key) + 1, put["value"])
        for key in txn["deletes"]:
            self.rows.pop(key, None)
        versions = {put["key"]: self.version(put["key"]) for put in txn["puts"]}
        return {"ok": True, "versions": versions, "conflicts": []}

    def version(self, key):
        """Return the version of a row; 0 if it does not exist."""
        return self.rows.get(key, (0, None))[0]

    def row(self, key):
        """Return a row as JSON data."""
        version, value = self.rows.get(key, (0, None))
        return {"key": key, "version": version, "value": value}


# Types of the values that `POST /faults` accepts.
FAULT_TYPES = {
    "down": bool,
    "silent": bool,
    "delay_s": (int, float),
    "lose_answers": int,
    "down_after_loss": bool,
    "lose_requests": int,
    "nonsense": str,
    "writes_per_s": (int, float),
    "reads_per_s": (int, float),
}


def parse_txn(body):
    """Parse the body of a request as a transaction.

    Returns
    -------
    dict
        Lists with the keys `checks`, `puts` and `deletes`.

    Raises
    ------
    HTTPError
        With status 400 if it is malformed.
    """
    try:
        txn = {"checks": [], "puts": [], "deletes": [], **json.loads(body)}
        valid = set(txn) == {"checks", "puts", "deletes"}
        valid &= all(
            _is_key(check["key"]) and type(check["version"]) is int
            for check in txn["checks"]
        )
        valid &= all(_is_key(put["key"]) and "value" in put for put in txn["puts"])
        valid &= all(_is_key(key) for key in txn["deletes"])
        written = [put["key"] for put in txn["puts"]] + list(txn["deletes"])
        valid &= len(set(written)) == len(written)
    except (ValueError, TypeError, KeyError):
        valid = False
    if not valid:
        raise HTTPError(400)
    return txn


def _is_key(key):
    return isinstance(key, str) and 0 < len(key) <= MAX_KEY_CHARS


class TableHandler(RequestHandler):
    """Base of the handlers of table requests; applies rate limits and faults."""

    def initialize(self, table):
        """Store the table."""
        self.table = table

    async def prepare(self):
        """Apply the rate limits and the faults `silent`, `delay_s` and `down`."""
        table = self.table
        if table.silent:
            await asyncio.Event().wait()
        is_write = self.request.method == "POST"
        bucket = table.write_bucket if is_write else table.read_bucket
        if not bucket.take(table.writes_per_s if is_write else table.reads_per_s):
            table.refused += 1
            self.set_header("Retry-After", "1")
            raise HTTPError(429)
        if table.delay_s:
            await asyncio.sleep(table.delay_s)
        if table.down:
            raise HTTPError(503)

    def respond(self, data):
        """Respond with JSON data, or with the invalid body that is set as a fault."""
        if self.table.nonsense:
            self.write(INVALID_BODIES[self.table.nonsense])
            return
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(data))


class RowHandler(TableHandler):
    """Handler of reads of one row."""

    def get(self, key):
        """Respond with the row."""
        self.table.reads += 1
        self.respond(self.table.row(key))


class RowsHandler(TableHandler):
    """Handler of scans over the rows with a prefix."""

    def get(self):
        """Respond with the first rows in key order.

        The request may limit their number; it never exceeds `MAX_SCAN_ROWS`.
        """
        self.table.reads += 1
        prefix = self.get_query_argument("prefix")
        limit = self.get_query_argument("limit", str(MAX_SCAN_ROWS))
        if not limit.isdigit() or int(limit) < 1:
            raise HTTPError(400)
        max_rows = min(int(limit), MAX_SCAN_ROWS)
        keys = sorted(key for key in self.table.rows if key.startswith(prefix))
        self.respond([self.table.row(key) for key in keys[:max_rows]])


class TxnHandler(TableHandler):
    """Handler of transactions."""

    def post(self):
        """Execute a transaction; faults may lose the request or the response."""
        table = self.table
        txn = parse_txn(self.request.body)
        if table.lose_requests > 0:
            table.lose_requests -= 1
            self.request.connection.close()
            return
        table.writes += 1
        response = table.run_transaction(txn)
        if table.lose_answers > 0:
            table.lose_answers -= 1
            table.down = table.down or table.down_after_loss
            self.request.connection.close()
            return
        self.respond(response)


class FaultsHandler(RequestHandler):
    """Handler that sets faults and returns the counters; faults do not affect it."""

    def initialize(self, table):
        """Store the table."""
        self.table = table

    def get(self):
        """Respond with the counters."""
        table = self.table
        self.write(
            {"reads": table.reads, "writes": table.writes, "refused": table.refused}
        )

    def post(self):
        """Set the given faults and keep the others."""
        for name, value in json.loads(self.request.body).items():
            if name not in FAULT_TYPES or not isinstance(value, FAULT_TYPES[name]):
                raise HTTPError(400)
            setattr(self.table, name, value)
        self.write({})


def make_app(table):
    """Return the application of the table service."""
    args = {"table": table}
    return Application(
        [
            (r"/v1/rows/(.+)", RowHandler, args),
            (r"/v1/rows", RowsHandler, args),
            (r"/v1/txn", TxnHandler, args),
            (r"/faults", FaultsHandler, args),
        ],
        log_function=lambda handler: None,
    )


async def main(port=0):
    """Print the port and serve until the process is killed; port 0 means a free one."""
    sockets = bind_sockets(port, "127.0.0.1")
    server = HTTPServer(make_app(Table()), max_body_size=MAX_BODY_BYTES)
    server.add_sockets(sockets)
    print(json.dumps({"port": sockets[0].getsockname()[1]}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(*map(int, sys.argv[1:2])))
