"""Calls to the store after its return: `python -m bench.store_return`.

Plays the part of each node that follows the store, in simulated time. The store is away
for a second and comes back from a copy that lacks no row, or the rows of all nodes.
"""

import asyncio
import random
from collections import Counter
from types import SimpleNamespace

from absl import app, flags

from pimentoline.twohop.model import Member
from pimentoline.twohop.store_sync import MEMBERS_TABLE, StoreSync
from pimentoline.twohop.target_status import StatusTracker
from standins.store_model import BUSY_STATUS, StoreClient, StoreLimits, StoreModel

from .emulator import simulated_time

CONFIG_ROW = ("op", "config")
# What the platform's store takes: all reads, and the writes to one part of its tables.
LIMITS = StoreLimits(reads_per_s=2000, writes_per_s=250)
TABLE_HEAD = (
    "| nodes | copy lacks | in force s | rows stored s | reads in each of 4 s "
    "| writes in each of 4 s | refused | calls in 20 s |"
)
# Time from the start of the nodes until the store is away, seconds.
SETTLE_S = 40.0
OUTAGE_S = 1.0
# Time after the return that is counted, seconds.
COUNTED_S = 20.0
# Time of a frame from one node to another, seconds.
LINK_DELAY_S = 0.01


class _Peers:
    """The part of `Peers` that `StoreSync` uses."""

    def __init__(self, own_member, nodes):
        self._nodes = nodes
        self._members = {own_member.node: own_member}
        self.replicas = SimpleNamespace(
            note_row=lambda node, status: None, forget=lambda node: None
        )

    @property
    def members(self):
        return list(self._members.values())

    @property
    def connected_members(self):
        return self.members

    def broadcast_load(self, config_read):
        """Tell all nodes that this one has read the configuration."""
        loop = asyncio.get_running_loop()
        for node in self._nodes:
            loop.call_later(LINK_DELAY_S, node.store_sync.note_peer_read)

    def set_member(self, member):
        self._members[member.node] = member

    def remove_member(self, node):
        self._members.pop(node, None)


class _Node:
    """A node that follows the store and serves no calls; `nodes` lists all of them."""

    def __init__(self, number, model, nodes):
        name = f"n{number:04}"
        addr = (f"10.{number >> 8}.{number & 255}.1", 7000)
        member = Member(name, addr, "kerio", "rift", "ledger")
        self.peers = _Peers(member, nodes)
        self.target = SimpleNamespace(status_tracker=StatusTracker())
        self.version = 0
        self.config = SimpleNamespace(offer=self._offer)
        self.store_sync = StoreSync(StoreClient(model), CONFIG_ROW, member, self)

    def _offer(self, version, text, source):
        self.version = max(self.version, int(text))


async def play(nodes, rows_lost):
    """Return the figures of a return of the store, as a dict.

    Parameters
    ----------
    nodes : int
    rows_lost : bool
        Whether the copy lacks the rows of all nodes.
    """
    loop = asyncio.get_running_loop()
    model = StoreModel()
    model.put(CONFIG_ROW, b"1")
    copy = model.copy()
    members = []
    members += [_Node(number, model, members) for number in range(nodes)]
    for member in members:
        member.store_sync.start()
        await asyncio.sleep(random.uniform(0.0, 0.3) / nodes)
    await asyncio.sleep(SETTLE_S)
    model.limits = LIMITS
    if not rows_lost:
        copy = model.copy()
    model.up = False
    model.cut_watches()
    await asyncio.sleep(OUTAGE_S)
    model.go_back(copy)
    model.put(CONFIG_ROW, b"2")
    model.up, back_at = True, loop.time()
    model.calls.clear()
    in_force_at = stored_at = None
    while loop.time() < back_at + COUNTED_S:
        await asyncio.sleep(0.01)
        if in_force_at is None and all(member.version == 2 for member in members):
            in_force_at = loop.time()
        rows = sum(table == MEMBERS_TABLE for table, _ in model.rows)
        if stored_at is None and rows == nodes:
            stored_at = loop.time()
    for member in members:
        member.store_sync.stop()
    by_second = Counter((method, int(at - back_at)) for at, method, _ in model.calls)
    return {
        "in_force_s": in_force_at and round(in_force_at - back_at, 2),
        "stored_s": stored_at and round(stored_at - back_at, 2),
        "reads": [by_second["GET", second] for second in range(4)],
        "writes": [by_second["POST", second] for second in range(4)],
        "refused": sum(status == BUSY_STATUS for _, _, status in model.calls),
        "calls": len(model.calls),
    }


def main(argv):
    """Print a table with a row for each number of nodes and kind of copy."""
    print(TABLE_HEAD)
    print("|" + " --- |" * (TABLE_HEAD.count("|") - 1))
    for nodes in map(int, flags.FLAGS.nodes):
        for rows_lost in (False, True):
            random.seed(1)
            found = simulated_time.run(play(nodes, rows_lost))
            cells = [nodes, "all rows" if rows_lost else "nothing", *found.values()]
            print("| " + " | ".join(map(str, cells)) + " |", flush=True)


if __name__ == "__main__":
    flags.DEFINE_list("nodes", ["16", "76", "300"], "Numbers of nodes.")
    app.run(main)
