"""Stand-in of the platform's transactional table service.

Faults are set by `POST /faults` with `{"down": bool, "delay_s": float,
"lose_answers": int}`; a lost answer is the answer to a write that took effect.
"""

import asyncio
import json
import sys
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler


@dataclass
class Table:
    """Rows as (version, value), and the faults in force."""

    rows: dict = field(default_factory=dict)
    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    reads: int = 0
    writes: int = 0

    def run(self, txn):
        """Run a transaction and return its answer."""
        conflicts = [
            check["key"]
            for check in txn.get("checks", [])
            if self.version(check["key"]) != check["version"]
        ]
        if conflicts:
            return {"ok": False, "conflicts": conflicts}
        for put in txn.get("puts", []):
            key = put["key"]
            self.rows[key] = (self.version(key) + 1, put["value"])
        for key in txn.get("deletes", []):
            self.rows.pop(key, None)
        return {"ok": True, "conflicts": []}

    def version(self, key):
        """Return the version of a key, 0 if it is absent."""
        return self.rows.get(key, (0, None))[0]

    def row(self, key):
        """Return a row as JSON data."""
        version, value = self.rows.get(key, (0, None))
        return {"key": key, "version": version, "value": value}


class TableHandler(RequestHandler):
    """Base of the handlers: applies the faults in force."""

    def initialize(self, table):
        """Take the table."""
        self.table = table

    async def prepare(self):
        """Delay or refuse the request."""
        if self.table.delay_s:
            await asyncio.sleep(self.table.delay_s)
        if self.table.down:
            self.set_status(503)
            self.finish()


class RowHandler(TableHandler):
    """Reads one row."""

    def get(self, key):
        """Answer the row."""
        self.table.reads += 1
        self.write(self.table.row(key))


class RowsHandler(TableHandler):
    """Reads the rows with a prefix."""

    def get(self):
        """Answer the rows in key order."""
        self.table.reads += 1
        prefix = self.get_argument("prefix")
        limit = int(self.get_argument("limit", "1000"))
        keys = sorted(key for key in self.table.rows if key.startswith(prefix))
        self.write(json.dumps([self.table.row(key) for key in keys[:limit]]))


class TxnHandler(TableHandler):
    """Runs transactions."""

    def post(self):
        """Run one transaction; its answer may be lost."""
        self.table.writes += 1
        answer = self.table.run(json.loads(self.request.body))
        if self.table.lose_answers > 0:
            self.table.lose_answers -= 1
            self.request.connection.close()
            return
        self.write(answer)


class FaultsHandler(RequestHandler):
    """Sets the faults in force."""

    def initialize(self, table):
        """Take the table."""
        self.table = table

    def get(self):
        """Answer the counters."""
        self.write({"reads": self.table.reads, "writes": self.table.writes})

    def post(self):
        """Set the given faults and keep the others."""
        for name, value in json.loads(self.request.body).items():
            setattr(self.table, name, value)


def make_app(table):
    """Return the application of the table service."""
    args = {"table": table}
    return Application(
        [
            (r"/v1/rows/(.+)", RowHandler, args),
            (r"/v1/rows", RowsHandler, args),
            (r"/v1/txn", TxnHandler, args),
            (r"/faults", FaultsHandler, args),
        ]
    )


async def main(port=0):
    """Serve until the process is ended; prints the port."""
    sockets = bind_sockets(port, "127.0.0.1")
    HTTPServer(make_app(Table())).add_sockets(sockets)
    print(json.dumps({"port": sockets[0].getsockname()[1]}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(*map(int, sys.argv[1:2])))
