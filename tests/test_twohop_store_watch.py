"""Tests of how nodes follow the store's tables when responses are missing or odd."""

import asyncio
import json
import socket
import time
from itertools import pairwise

import pytest

from pimentoline.errors import StoreError
from pimentoline.platform.store import PlatformStore
from pimentoline.twohop.store_sync import MEMBERS_TABLE
from pimentoline.twohop.watch_schedule import MAX_WAIT_S, wait_s

from .test_twohop_path import Caller, cluster_test, config, start_pair

# The time without disruption after which a change must be in force again, seconds.
STABLE_S = 3.0


@cluster_test
async def test_change_is_in_force_in_time_after_all_watches_went_silent(cluster):
    """Guards against watches that all end together, long after they went silent."""
    nodes = [(await cluster.add(ready=False))[0] for _ in range(3)]
    await cluster.until(lambda: all(len(node.peers.members) == 3 for node in nodes))
    cluster.store.put_config(config(2))
    await cluster.until(lambda: all(node.config.version == 2 for node in nodes))
    # Each node has read the change and waits for the next one.
    await asyncio.sleep(0.1)
    cluster.store.silence_feeds()
    silent_at = time.monotonic()
    cluster.store.put_config(config(3))
    await cluster.until(lambda: all(node.config.version == 3 for node in nodes), 20.0)
    assert time.monotonic() - silent_at < STABLE_S


@pytest.mark.parametrize("nodes", [1, 2, 3, 14, 16, 85, 720])
def test_watches_end_one_after_the_other_after_a_change(nodes):
    """Guards against a long time in which no watch of any node ends."""
    period_s = wait_s(0, nodes, False)
    first_ends = [wait_s(rank, nodes, True) for rank in range(nodes)]
    ends = sorted([0.0, *first_ends, *(end + period_s for end in first_ends)])
    assert max(later - earlier for earlier, later in pairwise(ends)) <= 1.2 + 1e-9
    assert period_s <= MAX_WAIT_S


@cluster_test
async def test_silent_connection_to_the_store_is_closed_in_time(cluster):
    """Guards against a watch that waits on a dead connection until its wait ends."""
    node, _ = await cluster.add(ready=False)
    conn = await node.pool.acquire(cluster.store.addr, True)
    sock = conn.stream.socket
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    tcp = socket.IPPROTO_TCP
    probe_s = sock.getsockopt(tcp, socket.TCP_KEEPIDLE) + sock.getsockopt(
        tcp, socket.TCP_KEEPINTVL
    ) * sock.getsockopt(tcp, socket.TCP_KEEPCNT)
    user_timeout_ms = sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
    conn.close()
    assert probe_s < STABLE_S
    assert 0 < user_timeout_ms < STABLE_S * 1000


def member_row(**changes):
    """Return the value of a row of the members; `changes` replace its fields."""
    fields = {"addr": ["127.0.0.1", 9], "dc": "kerio", "region": "rift"}
    fields |= {"service": "ledger", "target": None}
    return json.dumps(fields | changes).encode()


# Values of rows that name no member, as another writer may leave them.
ODD_VALUES = {
    "deeply nested": b"[" * 200_000,
    "nested field": b'{"addr":' + b"[" * 200_000,
    "infinite number": b'{"addr":["127.0.0.1",1e400],"dc":"d","region":"r"}',
    "port out of range": member_row(addr=["127.0.0.1", 70_000]),
    "negative port": member_row(addr=["127.0.0.1", -1]),
    "port too large for an integer": member_row(addr=["127.0.0.1", 10**30]),
    "host name": member_row(addr=["localhost", 9]),
    "no address": member_row(addr=None),
    "number in place of a name": member_row(dc=7),
    "not text": b"\xff\xfe",
    "empty": b"",
    "list": b"[]",
    "odd target": member_row(target=[1]),
}
# Fields of a row in the store's response that break the store's protocol.
ODD_FIELDS = {
    "value is not base64": {"value": "%"},
    "value is a list": {"value": [[]]},
    "version is a text": {"ver": "7x"},
    "version is null": {"ver": None},
    "version is a list": {"ver": []},
    "key is a number": {"key": 7},
}


def add_odd_row(cluster, table, key, odd):
    """Write a row of another writer; `odd` names an item of the tables above."""
    cluster.store.odd_fields[table, key] = ODD_FIELDS.get(odd, {})
    cluster.store.put(table, key, ODD_VALUES.get(odd, b"{}"))


@pytest.mark.parametrize("before_start", [False, True])
@pytest.mark.parametrize("odd", [*ODD_VALUES, *ODD_FIELDS])
@cluster_test
async def test_members_are_followed_past_an_odd_row(cluster, odd, before_start):
    """Guards against one odd row that ends or blocks the reader of the members."""
    if before_start:
        add_odd_row(cluster, MEMBERS_TABLE, "odd", odd)
    first, _ = await cluster.add(ready=False)
    if not before_start:
        await cluster.until(first.store_sync.members_loaded.is_set)
        add_odd_row(cluster, MEMBERS_TABLE, "odd", odd)
        await asyncio.sleep(0.1)
    second, _ = await cluster.add(ready=False)
    for node in (first, second):
        await cluster.until(lambda node=node: len(node.peers.members) == 2, 5.0)
        assert "odd" not in {member.node for member in node.peers.members}


@pytest.mark.parametrize("key", ["config", "other"])
@pytest.mark.parametrize("odd", [*ODD_VALUES, *ODD_FIELDS])
@cluster_test
async def test_configuration_is_followed_past_an_odd_row(cluster, odd, key):
    """Guards against one odd row that ends or blocks the reader of configurations."""
    node, _ = await cluster.add(ready=False)
    await cluster.until(lambda: node.config.version == 1)
    add_odd_row(cluster, "op", key, odd)
    await asyncio.sleep(0.1)
    cluster.store.odd_fields.pop(("op", "config"), None)
    cluster.store.put_config(config(2))
    await cluster.until(lambda: node.config.version == 2, 5.0)


@pytest.mark.parametrize(
    "load",
    ["0,0,100000,100", "0,0,12," + "9" * 400, "0,0,12,99999999", f"0,0,{10**30},100"],
)
@cluster_test
async def test_odd_load_figures_of_a_target_stop_nothing(cluster, load):
    """Guards against a load report that does not fit into a frame."""
    caller_node, _, target = await start_pair(cluster)

    async def respond(request, writer):
        target.write_response(request, writer, b"ok", X_Server_Load=load)

    target.serve = respond
    caller = Caller(caller_node)
    for number in range(3):
        assert (await caller.call("/look/1", request_id=f"q{number}"))[0] == 200
    cluster.store.put_config(config(2))
    for node in cluster.nodes:
        await cluster.until(lambda node=node: node.config.version == 2, 3.0)
    cluster.store.put_config(config(3))
    for node in cluster.nodes:
        await cluster.until(lambda node=node: node.config.version == 3, 3.0)
    assert (await caller.call("/look/1", request_id="q9"))[0] == 200


@pytest.mark.parametrize(
    "change",
    [{"slots": 10**6}, {"slots": 0}, {"cold_left": "9" * 400 + "s"}],
    ids=str,
)
@cluster_test
async def test_heartbeat_with_a_figure_out_of_range_is_refused(cluster, change):
    """Guards against figures of a heartbeat that do not fit into a frame."""
    node, target = await cluster.add()
    body = {
        "address": "{}:{}".format(*target.addr),
        "born": target.born_ms,
        "info": {"service": target.service, "slots": 12} | change,
        "status": {"state": "draining", "sequence": 9, "cold_left": "0ms"} | change,
    }
    path = f"/v1/rpc?call=instances.heartbeat&of={target.name}"
    assert await target._post(node, path, body) == 400
    assert node.target.accepting


@cluster_test
async def test_table_is_followed_after_an_internal_error(cluster, monkeypatch):
    """Guards against a follower of the store that ends with an unexpected error."""
    node, _ = await cluster.add(ready=False)
    await cluster.until(lambda: node.config.version == 1)
    offer, errors = node.config.offer, [RuntimeError("odd")]

    def fail_once(*args):
        if errors:
            raise errors.pop()
        offer(*args)

    monkeypatch.setattr(node.config, "offer", fail_once)
    cluster.store.put_config(config(2))
    await cluster.until(lambda: node.config.version == 2, 3.0)
    assert not errors


@cluster_test
async def test_node_that_reads_an_older_configuration_gets_the_newer_from_peers(
    cluster,
):
    """Guards against a node that starts with a stale read and skips the changes."""
    first, _ = await cluster.add(ready=False)
    second, _ = await cluster.add(ready=False)
    stale_rows = dict(cluster.store.rows)
    cluster.store.put_config(config(2))
    await cluster.until(lambda: first.config.version == second.config.version == 2)
    cluster.store.stale_rows = stale_rows
    third, _ = await cluster.add(ready=False)
    await cluster.until(lambda: third.config.version == 2, STABLE_S)


@cluster_test
async def test_older_configuration_is_not_taken_when_all_rows_are_read_anew(cluster):
    """Guards against a return to an older version after the history was dropped."""
    node, _ = await cluster.add(ready=False)
    await cluster.until(lambda: node.config.version == 1)
    stale_rows = dict(cluster.store.rows)
    cluster.store.put_config(config(2))
    await cluster.until(lambda: node.config.version == 2)
    cluster.store.stale_rows = stale_rows
    reads = cluster.store.calls.count("/v1/rows-get")
    cluster.store.expire_history()
    cluster.store.put("op", "other", b"{}")
    await cluster.until(lambda: cluster.store.calls.count("/v1/rows-get") > reads)
    assert node.config.version == 2
    cluster.store.put_config(config(3))
    await cluster.until(lambda: node.config.version == 3, STABLE_S)


def row_item(key, **changes):
    """Return a row as the store sends it."""
    return {"table": "t", "part": "", "key": key, "value": "YQ==", "ver": 5} | changes


def read_pages(monkeypatch, *pages):
    """Return the keys and the version that `read_all` finds in responses."""
    store, left = PlatformStore(("127.0.0.1", 9), None), list(pages)

    async def request(method, path):
        return 200, left.pop(0)

    monkeypatch.setattr(store, "_request", request)
    rows, version = asyncio.run(store.read_all("t"))
    assert not left
    return [row.key for row in rows], version.number


def test_pages_are_read_past_one_without_a_readable_row(monkeypatch):
    """Guards against rows that are lost behind a page of odd ones."""
    pages = [
        {"rows": [row_item("a", ver="x")], "ver": 9, "has_more": True},
        {"rows": [row_item("b"), 7], "ver": 10, "has_more": True},
        {"rows": [row_item("c")], "ver": 11, "has_more": False},
    ]
    assert read_pages(monkeypatch, *pages) == (["b", "c"], 9)


@pytest.mark.parametrize(
    "page",
    [
        {"rows": [], "ver": 9},
        {"rows": [], "ver": 9, "has_more": "no"},
        {"rows": [7], "ver": 9, "has_more": True},
        {"rows": None, "ver": 9, "has_more": False},
        {"rows": [], "ver": True, "has_more": False},
    ],
    ids=str,
)
def test_malformed_page_is_an_error(monkeypatch, page):
    """Guards against a broken response that is taken for an empty table."""
    with pytest.raises(StoreError):
        read_pages(monkeypatch, page)
