"""Tests of links between nodes that go silent without being closed."""

import time

from pimentoline.twohop.member_rows import MemberRow, encode_row
from pimentoline.twohop.model import Member
from pimentoline.twohop.retry_budget import DIRECT_RETRY_SHARE
from pimentoline.twohop.store_sync import MEMBERS_TABLE

from .test_twohop_path import DESK, LEDGER, Caller, cluster_test, config

# Bound of a change of the configuration on the users' platform, seconds.
CONFIG_LIMIT_S = 2.0


@cluster_test
async def test_calls_changes_and_drains_go_on_after_all_links_went_silent(cluster):
    """Guards against nodes that wait for answers on links that stay open but silent.

    No node learns of a change or a drain on the old links.
    """
    caller_node, _ = await cluster.add(DESK)
    draining_node, draining = await cluster.add(LEDGER)
    _, other = await cluster.add(LEDGER)
    await cluster.wait_until_connected()
    for node in cluster.nodes:
        for link in list(node.peers.incoming):
            link.data_received = lambda data: None
        for peer in node.peers.outgoing.values():
            peer.link.data_received = lambda data: None
    began_at = time.monotonic()
    cluster.store.put_config(config(7))
    assert await draining.send_heartbeat(draining_node, "draining") == 200
    await cluster.until(
        lambda: all(node.config.version == 7 for node in cluster.nodes),
        CONFIG_LIMIT_S,
    )
    statuses = []
    while not statuses or statuses[-1] != 200:
        number = len(statuses)
        status, _, _ = await Caller(caller_node).call(
            "/look/1", request_id=f"q{number}", head="X-Deadline-Ms: 800\r\n"
        )
        statuses.append(status)
        assert time.monotonic() - began_at < 4.0, statuses
    assert not draining.received
    assert len(other.received) == 1


@cluster_test
async def test_members_out_of_reach_keep_their_share_of_retries(cluster):
    """Guards against two sides of a cut that spend the allowance of all nodes each."""
    nodes = [(await cluster.add(LEDGER))[0] for _ in range(2)]
    out_of_reach = 8
    for number in range(out_of_reach):
        # Nothing listens at these addresses.
        member = Member(f"away-{number}", ("127.0.0.1", 9 + number), "d", "r", LEDGER)
        row = encode_row(MemberRow(member, None))
        cluster.store.put(MEMBERS_TABLE, member.node, row)
    count = len(nodes) + out_of_reach
    await cluster.until(lambda: all(len(n.peers.members) == count for n in nodes))
    retries, now = 0, time.monotonic()
    for node in nodes:
        while node.caller_side.acquire_retry(LEDGER, now):
            retries += 1
    allowance = nodes[0].cfg.retry_limits.allowance
    assert 0 < retries <= DIRECT_RETRY_SHARE * allowance * len(nodes) / count
