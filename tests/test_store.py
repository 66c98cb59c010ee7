"""Protocol of the platform's table service, and its client `Store`.

The tests run against a stand-in for the service, which can have faults.
"""

import asyncio
import json

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from pimentoline.errors import StoreBusyError, StoreError, StoreUnavailableError
from pimentoline.metrics import Metrics
from pimentoline.store import Row, Store
from standins.table import HUGE_BODY_BYTES, INVALID_BODIES, Table, make_app


def with_table(scenario, **faults):
    """Run `scenario(table, store)` against a table service in this process."""

    async def run():
        table = Table(**faults)
        sock, port = bind_unused_port()
        server = HTTPServer(make_app(table))
        server.add_socket(sock)
        store = Store(f"http://127.0.0.1:{port}", Metrics())
        try:
            return await asyncio.wait_for(scenario(table, store), 20)
        finally:
            store.close()
            server.stop()

    return asyncio.run(run())


def txn(checks=(), puts=(), deletes=()):
    """Return the body of a transaction."""
    return {
        "checks": [{"key": key, "version": version} for key, version in checks],
        "puts": [{"key": key, "value": value} for key, value in puts],
        "deletes": list(deletes),
    }


# (path, body or None, status, expected response or None). The expected response is a
# dict with some members of the response body, or a list of the keys of the rows in it.
PROTOCOL_STEPS = [
    ("/v1/rows/a", None, 200, {"key": "a", "version": 0, "value": None}),
    ("/v1/txn", txn([("a", 0)], [("a", 1)]), 200, {"ok": True, "versions": {"a": 1}}),
    ("/v1/txn", txn([("a", 0)], [("a", 9)]), 200, {"ok": False, "conflicts": ["a"]}),
    ("/v1/txn", txn([("a", 1)], [("a", 2), ("b/1", [3])]), 200, {"ok": True}),
    ("/v1/rows/a", None, 200, {"key": "a", "version": 2, "value": 2}),
    ("/v1/txn", txn([("a", 2), ("b/1", 9)], [("c", 1)]), 200, {"conflicts": ["b/1"]}),
    ("/v1/rows/c", None, 200, {"version": 0}),
    ("/v1/rows/b%2F1", None, 200, {"key": "b/1", "value": [3]}),
    ("/v1/txn", txn([], [("b/0", 0), ("b/2", 2)]), 200, {"ok": True}),
    ("/v1/rows?prefix=b/&limit=2", None, 200, ["b/0", "b/1"]),
    ("/v1/rows?prefix=b/", None, 200, ["b/0", "b/1", "b/2"]),
    ("/v1/txn", txn([("b/1", 1)], [], ["b/1"]), 200, {"ok": True}),
    ("/v1/rows?prefix=b/", None, 200, ["b/0", "b/2"]),
    ("/v1/rows?prefix=b/&limit=0", None, 400, None),
    ("/v1/rows?limit=5", None, 400, None),
    ("/v1/txn", {"puts": [{"key": "a"}]}, 400, None),
    ("/v1/txn", {"puts": [{"key": "", "value": 1}]}, 400, None),
    ("/v1/txn", txn([], [("a", 1)], ["a"]), 400, None),
    ("/v1/txn", {"writes": []}, 400, None),
    ("/v1/rows/a", None, 200, {"version": 2, "value": 2}),
]


def test_table_service_follows_its_protocol():
    """Guards against a stand-in that deviates from the protocol in docs/design.md."""

    async def scenario(table, store):
        client = AsyncHTTPClient(force_instance=True)
        for path, body, status, expected in PROTOCOL_STEPS:
            method = "GET" if body is None else "POST"
            data = None if body is None else json.dumps(body)
            url = store._base + path
            res = await client.fetch(url, raise_error=False, method=method, body=data)
            assert res.code == status, path
            found = json.loads(res.body) if status == 200 else None
            if isinstance(expected, list):
                assert [row["key"] for row in found] == expected, path
            for name in expected if isinstance(expected, dict) else ():
                assert found[name] == expected[name], (path, name)

    with_table(scenario)


def test_scan_is_limited():
    """Guards against a scan whose response has no size limit."""

    async def scenario(table, store):
        table.rows = {f"k{i:05d}": (1, i) for i in range(1500)}
        assert len(await store.scan("k", 1500)) == 1000
        assert [row.key for row in await store.scan("k0100", 3)] == [
            "k01000",
            "k01001",
            "k01002",
        ]

    with_table(scenario)


def test_rates_are_limited():
    """Guards against a stand-in that allows higher request rates than the platform."""

    async def scenario(table, store):
        with pytest.raises(StoreBusyError) as caught:
            for number in range(12):
                await store.commit(puts=[(f"k{number}", 1)])
        assert not caught.value.may_have_written
        assert len(table.rows) == table.writes < 12
        with pytest.raises(StoreBusyError):
            for _ in range(22):
                await store.get("k0")
        assert table.refused == 2

    with_table(scenario, writes_per_s=5.0, reads_per_s=10.0)


@pytest.mark.parametrize("kind", sorted(INVALID_BODIES))
def test_invalid_response_is_refused(kind):
    """Guards against an invalid response that is taken for a row or a commit."""

    async def scenario(table, store):
        for request in (store.get("a"), store.scan("a"), store.commit(puts=[("a", 1)])):
            with pytest.raises(StoreError) as caught:
                await request
            # It is True for reads as well, as the client does not distinguish them.
            assert caught.value.may_have_written
        # Reads are retried once; a transaction is not, as it may have taken effect.
        assert (table.reads, table.writes) == (4, 1)

    with_table(scenario, nonsense=kind)
    # The largest response that the client accepts is 16 MiB; the huge one exceeds it.
    assert HUGE_BODY_BYTES > 16 * 1024 * 1024


def test_response_with_another_row_is_refused():
    """Guards against accepting the row of another key after a mix-up of connections."""

    async def scenario(table, store):
        table.rows["a"] = (1, "x")
        table.row = lambda key: {"key": "b", "version": 1, "value": "y"}
        with pytest.raises(StoreError):
            await store.get("a")
        with pytest.raises(StoreError):
            await store.scan("a")

    with_table(scenario)


@pytest.mark.parametrize("faults", [{"down": True}, {"silent": True}, {"delay_s": 9.0}])
def test_request_to_an_unavailable_store_times_out(faults):
    """Guards against a request without a timeout while the store is unavailable.

    The service responds with status 503 (`down`), never (`silent`) or too late. In each
    case the client cannot tell whether a write took effect.
    """

    async def scenario(table, store):
        loop = asyncio.get_running_loop()
        for request in (store.get("a"), store.commit(puts=[("a", 1)])):
            started = loop.time()
            with pytest.raises(StoreUnavailableError) as caught:
                await request
            assert caught.value.may_have_written
            assert loop.time() - started < 4.0
        assert table.rows == {}

    with_table(scenario, **faults)


def test_transaction_with_lost_response_is_not_retried():
    """Guards against a transaction that runs twice because its response was lost."""

    async def scenario(table, store):
        with pytest.raises(StoreUnavailableError) as caught:
            await store.commit([("a", 0)], [("a", 1)])
        assert caught.value.may_have_written
        assert await store.get("a") == Row("a", 1, 1)
        assert table.writes == 1

    with_table(scenario, lose_answers=1)


def test_refused_connection_wrote_nothing():
    """Guards against an unknown outcome that is reported though nothing was sent."""

    async def scenario():
        sock, port = bind_unused_port()
        sock.close()
        with pytest.raises(StoreUnavailableError) as caught:
            await Store(f"http://127.0.0.1:{port}").commit(puts=[("a", 1)])
        assert not caught.value.may_have_written

    asyncio.run(scenario())


INVALID_HEADS = [
    *(f"HTTP/1.1 {status} Odd\r\n" for status in ("000", "099", "600", "999")),
    "HTTP/1.1 200 OK\r\nX Field: 1\r\n",
    "HTTP/1.1 200 OK\r\n X-Field: 1\r\n",
    "HTTP/1.1 200 OK\r\nX-\x01Field: 1\r\n",
]


@pytest.mark.parametrize("head", INVALID_HEADS)
def test_invalid_response_to_a_transaction_tells_nothing(head):
    """Guards against an outcome that is taken from a response that is not HTTP."""

    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head.encode() + b'Content-Length: 11\r\n\r\n{"ok":true}')
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        store = Store(f"http://{host}:{port}")
        try:
            with pytest.raises(StoreUnavailableError) as caught:
                await store.commit(puts=[("a", 1)])
            assert caught.value.may_have_written
        finally:
            store.close()
            server.close()

    asyncio.run(scenario())
