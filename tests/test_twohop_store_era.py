"""Tests of nodes whose store comes back from an older copy of its rows."""

import asyncio

import pytest

from pimentoline.errors import StoreEraChangedError
from pimentoline.platform.store import PlatformStore
from pimentoline.pool import Pool
from pimentoline.twohop.store_sync import MEMBERS_TABLE
from pimentoline.twohop.store_versions import ABSENT

from .test_twohop_path import cluster_test, config

# Bound of a change and of a lost row, seconds from the acknowledgement or the return.
BOUND_S = 2.0
NODES = 4
# Number of configurations that the copy lacks, and of other writes after the return.
# The counter of versions is then lower than before the outage, the same, or higher.
COUNTERS = {"lower": (3, 0), "same": (1, 0), "higher": (2, 3)}


async def start_nodes(cluster):
    """Start nodes; return them once they wait for changes of both tables."""
    nodes = [(await cluster.add(ready=False))[0] for _ in range(NODES)]
    await cluster.until(
        lambda: all(
            len(node.peers.members) == NODES and node.config.version == 1
            for node in nodes
        )
    )
    # Changes of the members are read in batches.
    await asyncio.sleep(1.0)
    return nodes


async def go_back(store, copy, outage_s, write):
    """Let the store come back from a copy; `write` is called before a node can read."""
    if outage_s:
        store.down = True
        store.cut_feeds()
        await asyncio.sleep(outage_s)
    store.restore(copy)
    write()
    store.down = False


async def lose_configurations(cluster, nodes, counter, outage_s):
    """Go back to a copy without some configurations; return the next one's version."""
    store = cluster.store
    lost, others = COUNTERS[counter]
    copy = store.copy()
    for version in range(2, 2 + lost):
        store.put_config(config(version))
        await cluster.until(lambda: all(n.config.version == version for n in nodes))

    def write():
        store.put_config(config(2 + lost))
        for _ in range(others):
            store.put("other", "row", b"{}")

    await go_back(store, copy, outage_s, write)
    return 2 + lost


async def assert_in_force(cluster, nodes, version):
    """Assert that a configuration comes into force at all nodes within the bound."""
    await cluster.until(
        lambda: all(node.config.version == version for node in nodes), BOUND_S
    )


@pytest.mark.parametrize("outage_s", [0.0, 0.05, 1.0])
@pytest.mark.parametrize("counter", COUNTERS)
@cluster_test
async def test_change_is_in_force_after_the_store_went_back(cluster, counter, outage_s):
    """Guards against a change that has the version of one that is lost."""
    nodes = await start_nodes(cluster)
    version = await lose_configurations(cluster, nodes, counter, outage_s)
    await assert_in_force(cluster, nodes, version)


@pytest.mark.parametrize("counter", COUNTERS)
@cluster_test
async def test_change_is_in_force_after_an_outage_without_an_era(cluster, counter):
    """Guards against a follower that relies on a header that may be missing."""
    cluster.store.era = None
    nodes = await start_nodes(cluster)
    version = await lose_configurations(cluster, nodes, counter, 1.0)
    await assert_in_force(cluster, nodes, version)


@pytest.mark.parametrize("others", [0, 1, 5])
@cluster_test
async def test_row_that_the_copy_lacks_is_written_again(cluster, others):
    """Guards against a node that nobody finds after the store went back."""
    store = cluster.store
    nodes = await start_nodes(cluster)
    copy = store.copy()
    node, _ = await cluster.add(ready=False)
    await cluster.until(lambda: all(len(n.peers.members) == NODES + 1 for n in nodes))
    await asyncio.sleep(1.0)

    def write():
        for _ in range(others):
            store.put("other", "row", b"{}")

    await go_back(store, copy, 1.0, write)
    row_id = (MEMBERS_TABLE, node.cfg.node)
    await cluster.until(lambda: store.rows.get(row_id, (None,))[0], BOUND_S)


@pytest.mark.parametrize(
    "eras", [("7", "3"), ("1", ""), ("", "1"), ("1", "x"), ("-1", "-2"), ("1, 1", "2")]
)
@cluster_test
async def test_change_is_in_force_after_an_odd_era(cluster, eras):
    """Guards against a follower that stops at an era that falls or is no number."""
    store = cluster.store
    store.era = eras[0]
    nodes = await start_nodes(cluster)
    store.down = True
    store.cut_feeds()
    await asyncio.sleep(0.5)
    store.era = eras[1]
    store.down = False
    for version in (2, 3):
        store.put_config(config(version))
        await assert_in_force(cluster, nodes, version)


@cluster_test
async def test_row_is_not_removed_by_a_version_of_an_earlier_era(cluster):
    """Guards against a conditional removal that hits another node's new row."""
    store = cluster.store
    client = PlatformStore(store.addr, Pool(asyncio.get_running_loop().time))
    copy = store.copy()
    version = await client.write(MEMBERS_TABLE, "n1", b"row", ABSENT)
    store.restore(copy)
    store.put(MEMBERS_TABLE, "n1", b"another row")
    assert store.version_of(MEMBERS_TABLE, "n1") == version.number
    await client.read_all("op")
    with pytest.raises(StoreEraChangedError) as caught:
        await client.write(MEMBERS_TABLE, "n1", None, version)
    assert not caught.value.may_have_written
    assert store.rows[MEMBERS_TABLE, "n1"][0] == b"another row"


def test_response_of_an_earlier_era_is_not_believed():
    """Guards against a late response that brings back an earlier era."""
    released = asyncio.Event()

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        late = b"table=late" in head
        if late:
            await released.wait()
        era = 1 if late or b"table=first" in head else 2
        body = b'{"ver": 5, "rows": [], "has_more": false}'
        writer.write(b"HTTP/1.1 200 OK\r\nStore-Era: %d\r\n" % era)
        writer.write(b"Content-Length: %d\r\n\r\n" % len(body) + body)
        writer.close()

    async def read():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = Pool(asyncio.get_running_loop().time)
        client = PlatformStore(server.sockets[0].getsockname(), pool)
        await client.read_all("first")
        late = asyncio.ensure_future(client.read_all("late"))
        await asyncio.sleep(0.05)
        assert (await client.read_all("new"))[1].era == 2
        released.set()
        with pytest.raises(StoreEraChangedError):
            await late
        assert (await client.read_all("new"))[1].era == 2
        server.close()

    asyncio.run(read())
