"""A plain model of the platform's store, for runs in simulated time without sockets.

The store can come back from an older copy of its rows, and counts and limits its calls.
"""

import asyncio
import base64
import json
from dataclasses import dataclass
from types import SimpleNamespace
from urllib.parse import parse_qs, urlsplit

from tornado.httputil import HTTPHeaders

from pimentoline.platform.store import PlatformStore
from pimentoline.twohop.exchange import Response

__all__ = ["StoreClient", "StoreLimits", "StoreModel"]

LATENCY_S = 0.002
HISTORY_EXPIRED_STATUS = 410
CONFLICT_STATUS = 412
BUSY_STATUS = 429
ANY_ADDR = ("127.0.0.1", 1)


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Calls that the store takes in each second; it refuses others with status 429.

    Attributes
    ----------
    reads_per_s, writes_per_s : float
    """

    reads_per_s: float = float("inf")
    writes_per_s: float = float("inf")


class StoreModel:
    """Rows, a counter of versions and an era.

    Parameters
    ----------
    limits : StoreLimits
    latencies : list of float
        Times that the next responses are on their way, from the end of the list,
        seconds; the others take `LATENCY_S`.

    Attributes
    ----------
    rows : dict
        Tuple (value, version) of each row, by tuple (table, key).
    up : bool
        Whether the store can be reached.
    calls : list of tuple
        Time, method and status of each call.
    """

    def __init__(self, limits=StoreLimits(), latencies=()):
        self.limits = limits
        self.latencies = list(latencies)
        self.rows = {}
        self.version = 0
        self.era = 1
        self.up = True
        self.calls = []
        self._cuts = 0
        self._silenced = 0
        self._changed = asyncio.Event()
        # Second and number of the calls in it, by method.
        self._used = {}

    def put(self, row_id, value):
        """Write a row, given as tuple (table, key)."""
        self.version += 1
        self.rows[row_id] = (value, self.version)
        self._wake_watches()

    def remove(self, row_id):
        """Remove a row; those who wait for changes are not told."""
        self.version += 1
        del self.rows[row_id]

    def copy(self):
        """Return a copy for `go_back`."""
        return dict(self.rows), self.version

    def go_back(self, copy):
        """Continue from a copy in a new era."""
        rows, self.version = copy
        self.rows = dict(rows)
        self.era += 1
        self._wake_watches()

    def cut_watches(self):
        """Close the connections of all requests that wait for a change."""
        self._cuts += 1
        self._wake_watches()

    def silence_watches(self):
        """Never respond to the requests that wait for a change now."""
        self._silenced += 1
        self._wake_watches()

    def _wake_watches(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _is_refused(self, method):
        limits = self.limits
        limit = limits.reads_per_s if method == "GET" else limits.writes_per_s
        second = int(asyncio.get_running_loop().time())
        used = self._used.get(method, (second, 0))
        count = used[1] if used[0] == second else 0
        self._used[method] = second, count + 1
        return count >= limit

    async def respond(self, method, path, data):
        """Return the `Response` to a request; raise `OSError` if it gets none."""
        await asyncio.sleep(LATENCY_S)
        if not self.up:
            raise OSError("the store is down")
        if self._is_refused(method):
            status, item = BUSY_STATUS, {}
        elif method == "POST":
            status, item = self._apply(json.loads(data))
        else:
            query = {name: values[0] for name, values in parse_query(path).items()}
            if urlsplit(path).path.endswith("rows-get"):
                rows = self._items(query["table"])
                status, item = 200, {"rows": rows, "has_more": False}
            else:
                status, item = await self._watch(query)
        self.calls.append((asyncio.get_running_loop().time(), method, status))
        body = json.dumps(item | {"ver": self.version}).encode()
        headers = HTTPHeaders({"Store-Era": str(self.era)})
        await asyncio.sleep(self.latencies.pop() if self.latencies else LATENCY_S)
        return Response(status, "", headers, body, True)

    def _items(self, table, after=0):
        return [
            {"key": key, "ver": version, "value": base64.b64encode(value).decode()}
            for (found, key), (value, version) in self.rows.items()
            if found == table and version > after
        ]

    async def _watch(self, query):
        after, cuts, silenced = int(query["after"]), self._cuts, self._silenced
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query["wait_ms"]) / 1000
        while True:
            if self._cuts != cuts:
                raise OSError("connection closed")
            if self._silenced != silenced:
                await asyncio.Event().wait()
            if after > self.version:
                return HISTORY_EXPIRED_STATUS, {}
            items = self._items(query["table"], after)
            if items or loop.time() >= ends_at:
                return 200, {"rows": items}
            try:
                async with asyncio.timeout_at(ends_at):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _apply(self, transaction):
        """Write or remove one row under a condition, the only transactions taken."""
        (check,) = transaction["expected_rev"]
        table, key = row_id = check["table"], check["key"]
        if self.rows.get(row_id, (None, 0))[1] != check["ver"]:
            items = [item for item in self._items(table) if item["key"] == key]
            return CONFLICT_STATUS, {"rows": items}
        if transaction["remove"]:
            self.remove(row_id)
        for write in transaction["writes"]:
            self.put(row_id, base64.b64decode(write["value"]))
        return 200, {}


def parse_query(path):
    """Return the parameters of a path, with the list of the values of each."""
    return parse_qs(urlsplit(path).query)


class StoreClient(PlatformStore):
    """A node's client whose requests go to a `StoreModel`."""

    def __init__(self, model):
        super().__init__(ANY_ADDR, SimpleNamespace(close_idle=lambda addr: None))
        self._model = model

    async def _exchange(self, method, path, headers, data):
        return await self._model.respond(method, path, data)
