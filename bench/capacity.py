"""Control-plane cost of a node against the number of members.

One part feeds a real node with generated records of many members, whose pings,
synchronisations and rumours this process sends and answers. The other part runs
real nodes. The third passes messages between reducer states in model time.

Run: `python -m bench.capacity > FILE`; it prints Markdown.
"""

import asyncio
import itertools
import json
import random
import statistics
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from pimentoline import events as ev
from pimentoline.codec import Codec
from pimentoline.gossip import GOSSIP_FANOUT, SYNC_INTERVAL_S, sync_reply
from pimentoline.member_records import GOSSIP_SENDS, digests, with_records
from pimentoline.mesh_transport import MeshTransport
from pimentoline.messages import Ack, Gossip, Message, Ping, SyncReply, SyncRequest
from pimentoline.model import Identity, Member, MemberStatus, State, Target
from standins.cluster import Cluster, http, wait_until
from tests.simulated_network import make_network

from .reduce_cost import PLACES

SEED = 7
MEMBERS = (90, 180, 360, 720)
NODES = (6, 12, 24, 48)
# One synchronisation of each direction falls into each interval.
FED_REST_S = 60.0
FED_RESTARTS_S = 40.0
NODES_REST_S = 30.0
NODES_RESTARTS_S = 24.0
RESTARTS_PER_DAY = 110
FED_RESTARTS_PER_S = 1.0
NODE_RESTART_GAP_S = 4.0
RULES_TEXT = "pause nobody  # asked by Wanjiru\n"


class Sample:
    """Processor time in seconds, and the bytes counted by a node."""

    def __init__(self, pid, counters):
        with open(f"/proc/{pid}/schedstat") as file:
            self.cpu_s = int(file.read().split()[0]) / 1e9
        self.bytes_sent = counters.get("mesh.bytes_sent", 0)
        self.bytes_received = counters.get("mesh.bytes_received", 0)
        self.at = time.monotonic()

    def rates(self, before):
        """Return (share of a core in %, bytes/s sent, bytes/s received)."""
        took_s = self.at - before.at
        return (
            100.0 * (self.cpu_s - before.cpu_s) / took_s,
            (self.bytes_sent - before.bytes_sent) / took_s,
            (self.bytes_received - before.bytes_received) / took_s,
        )


def memory_mb(pid):
    """Return the resident memory of a process in MB."""
    with open(f"/proc/{pid}/status") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def sample(cluster, name):
    """Return the `Sample` of a node."""
    counters = cluster.admin(name, "/v1/status")[1]["counters"]
    return Sample(cluster.nodes[name].popen.pid, counters)


class Feeder:
    """Plays all members but one; every one of them has this process's address."""

    def __init__(self, count, seed):
        self.rand = random.Random(seed)
        self.mesh = MeshTransport(
            Codec([b"test-key"]), self.on_message, lambda exc: None
        )
        self.addr = self.mesh.bind_addr(("127.0.0.1", 0))
        self.now = time.monotonic
        me = Identity("m0", "m0", *PLACES[0], self.addr, self.addr, 1)
        self.state = with_records(State(me), [self.record(i) for i in range(count)])
        self.count = count

    def record(self, number):
        """Return the record of a generated member with its target."""
        region, dc = PLACES[number % len(PLACES)]
        target = Target(f"t{number}", f"s{number % 89}", ("127.0.0.1", 9), region, dc)
        name = f"m{number}"
        return Member(
            name, name, self.addr, region, dc, 1764844800000, 1, targets=(target,)
        )

    def message(self, body):
        """Return a message of some member."""
        name = f"m{self.rand.randrange(self.count)}"
        return Message(name, 1, 0, body, 0, True)

    def on_message(self, message, addr=None):
        """Answer pings and synchronisations; keep the node's records."""
        match message.body:
            case Ping(ping_id, relay):
                self.mesh.send((addr,), self.message(Ack(ping_id, relay)))
            case SyncRequest():
                return self.message(sync_reply(self.state, message.body, self.now()))
            case Gossip(records):
                own = [r for r in records if r.node_id == message.sender]
                self.state = with_records(self.state, own)
                return self.message(SyncReply((), ())) if addr is None else None
        return None

    async def load(self, node_addr, restarts_per_s, seconds):
        """Send what one node of such a mesh receives, for a while."""
        end = self.now() + seconds
        later = []
        for second in itertools.count():
            if self.now() >= end:
                return
            self.mesh.send((node_addr,), self.message(Ping(self.rand.getrandbits(60))))
            if (
                second == SYNC_INTERVAL_S / 2
                or seconds < SYNC_INTERVAL_S
                and second == 5
            ):
                request = SyncRequest(digests(self.state.mesh.members))
                await self.mesh.send_request(node_addr, self.message(request))
            for _ in range(int(restarts_per_s)):
                later.extend(self.restart())
            # A rumour reaches a node as often as a node sends it, in about 2 s.
            for copy in [item for item in later if self.rand.random() < 0.5]:
                later.remove(copy)
                self.mesh.send((node_addr,), self.message(copy))
            await asyncio.sleep(1.0)

    def restart(self):
        """Change the record of a member as a restart does; return the datagrams."""
        name = f"m{self.rand.randrange(1, self.count)}"
        held = self.state.mesh.members[name]
        starting = replace(held, incarnation=held.incarnation + 1000, seq=1, targets=())
        changes = (
            replace(held, status=MemberStatus.LEAVING, seq=held.seq + 1),
            starting,
            replace(starting, seq=2, targets=held.targets),
        )
        for record in changes:
            self.state = with_records(self.state, [record], self.now())
            yield from [Gossip((record,))] * (GOSSIP_SENDS * GOSSIP_FANOUT)


async def run_fed(count, cluster):
    """Measure one node that holds `count` members; return a table row."""
    loop = asyncio.get_running_loop()
    feeder = Feeder(count, SEED)
    seeds = "{}:{}".format(*feeder.addr)
    node = await loop.run_in_executor(
        None, lambda: cluster.start_node(f"fed{count}", seeds=seeds)
    )
    addr = tuple(node.info["mesh"])
    name = f"fed{count}"
    await feeder.load(addr, 0, 5.0)
    points = [sample(cluster, name)]
    for restarts_per_s, seconds in (
        (0, FED_REST_S),
        (FED_RESTARTS_PER_S, FED_RESTARTS_S),
    ):
        await feeder.load(addr, restarts_per_s, seconds)
        points.append(await loop.run_in_executor(None, sample, cluster, name))
    members = cluster.admin(name, "/v1/status")[1]["members"]
    rest, busy = points[1].rates(points[0]), points[2].rates(points[1])
    share = RESTARTS_PER_DAY / 86400 / FED_RESTARTS_PER_S
    scaled = [a + max(0.0, b - a) * share for a, b in zip(rest, busy)]
    return (count, members, rest, busy, scaled, memory_mb(node.popen.pid))


async def run_all_fed():
    """Measure all member counts at the same time."""
    cluster = Cluster()
    try:
        return await asyncio.gather(*(run_fed(count, cluster) for count in MEMBERS))
    finally:
        cluster.close()


def spread_s(cluster, names, known):
    """Return the seconds until `known(name)` has been true at each node."""
    begin = time.monotonic()

    def wait(name):
        wait_until(lambda: known(name), 15, name)
        return time.monotonic() - begin

    with ThreadPoolExecutor(8) as pool:
        return max(pool.map(wait, names))


def store_counts(cluster):
    """Return (reads, writes) of the table service."""
    answer = json.loads(http(f"{cluster.table_url}/faults")[2])
    return answer["reads"], answer["writes"]


def run_nodes(count, rand):
    """Measure `count` real nodes; return a table row as a dict."""
    cluster = Cluster()
    try:
        cluster.start_table()
        names = [f"n{i}" for i in range(count)]
        begin = time.monotonic()
        with ThreadPoolExecutor(count) as pool:
            list(
                pool.map(
                    lambda i: cluster.start_node(names[i], *PLACES[i % len(PLACES)]),
                    range(count),
                )
            )

        def members(name):
            return cluster.admin(name, "/v1/status")[1]["members"]

        for name in names:
            wait_until(lambda: members(name) == count, 60, f"members at {name}")
        row = {"nodes": count, "start_s": time.monotonic() - begin}
        row["start_reads"], row["start_writes"] = store_counts(cluster)
        cluster.start_target("t1", "n0")
        time.sleep(3.0)
        row["rest"], reads, writes = interval(
            cluster, names, lambda: time.sleep(NODES_REST_S)
        )
        row["reads_per_s"], row["writes_per_s"] = (
            reads / NODES_REST_S,
            writes / NODES_REST_S,
        )
        row["memory"] = statistics.mean(
            memory_mb(cluster.nodes[name].popen.pid) for name in names
        )
        body = {"base": 0, "text": RULES_TEXT, "author": "otieno"}
        body["attempt"] = f"capacity-{count}"
        answer = cluster.admin("n1", "/v1/config", "POST", body)[1]
        assert answer["result"] == "accepted", answer

        def has_rules(name):
            return cluster.admin(name, "/v1/status")[1]["rules"]["version"] == 1

        row["config_s"] = spread_s(cluster, names, has_rules)
        cluster.admin("n0", "/v1/targets/t1/drain", "POST", {})

        def knows_drain(name):
            return '"draining"' in str(cluster.admin(name, "/v1/mesh")[1]).replace(
                "'", '"'
            )

        row["drain_s"] = spread_s(cluster, names, knows_drain)
        victims = rand.sample(
            names[1:], min(count // 2, int(NODES_RESTARTS_S / NODE_RESTART_GAP_S))
        )
        kept = [name for name in names if name not in victims]

        def restart_some():
            for number, name in enumerate(victims):
                cluster.nodes[name].kill()
                region, dc = PLACES[names.index(name) % len(PLACES)]
                cluster.start_node(f"{name}-{number}", region, dc, host=name)
                time.sleep(NODE_RESTART_GAP_S)

        begin = time.monotonic()
        row["busy"], _, _ = interval(cluster, kept, restart_some)
        row["restarts_per_s"] = len(victims) / (time.monotonic() - begin)
        share = RESTARTS_PER_DAY / 86400 / row["restarts_per_s"]
        row["scaled"] = [
            a + max(0.0, b - a) * share for a, b in zip(row["rest"], row["busy"])
        ]
        return row
    finally:
        cluster.close()


def interval(cluster, names, work):
    """Return the mean rates of nodes while `work` runs, and store reads and writes."""
    reads, writes = store_counts(cluster)
    before = {name: sample(cluster, name) for name in names}
    work()
    rates = [sample(cluster, name).rates(before[name]) for name in names]
    after_reads, after_writes = store_counts(cluster)
    means = [statistics.mean(column) for column in zip(*rates)]
    return means, after_reads - reads, after_writes - writes


def run_model(count):
    """Return the spread times of a drain and of a configuration in model time."""
    fabric = make_network(count, SEED, loss=0.01)
    fabric.run(8)
    fabric.announce("n1", "t1")
    fabric.run(2.5)
    fabric.announce("n1", "t1")
    begin = fabric.now
    fabric.dispatch("n1", ev.TargetDrained(fabric.now, "t1"))
    states = fabric.states

    def drained():
        return all(fabric.routes(name).get("t1") == "draining" for name in states)

    drain_s = fabric.run(10, drained) - begin
    begin = fabric.now
    for name in ("n2", "n3", "n4", "n5"):
        fabric.load_rules(name, 1)
    in_force_s = (
        fabric.run(10, lambda: all(s.rules.version == 1 for s in states.values()))
        - begin
    )
    return count, drain_s, in_force_s


def cells(rates):
    """Return table cells of processor share, and bytes/s both ways."""
    cpu, sent, received = rates
    return f"{cpu:.2f} | {sent:,.0f} | {received:,.0f}"


def main():
    """Run the three parts one after the other and print the tables."""
    print(
        f"Command: `python -m bench.capacity`, seed {SEED}, {sys.version.split()[0]}.\n"
    )
    print(
        "One real node, fed with generated records (payload bytes, without IP headers);"
    )
    print(
        f"rest {FED_REST_S:.0f} s, then {FED_RESTARTS_S:.0f} s with "
        f"{FED_RESTARTS_PER_S:.0f} restart/s; scaled to {RESTARTS_PER_DAY} a day.\n"
    )
    print(
        "| members | held | rest: % core | sent B/s | received B/s "
        "| restarts: % core | sent B/s | received B/s "
        "| scaled: % core | sent B/s | received B/s | memory MB |"
    )
    print("|" + " --- |" * 12)
    for count, held, rest, busy, scaled, memory in asyncio.run(run_all_fed()):
        print(
            f"| {count} | {held} | {cells(rest)} | {cells(busy)} | {cells(scaled)} "
            f"| {memory:.0f} |",
            flush=True,
        )
    print(
        f"\nReal nodes; rest {NODES_REST_S:.0f} s; one node killed and replaced every "
        f"{NODE_RESTART_GAP_S:.0f} s or more.\n"
    )
    print(
        "| nodes | all know all s | reads, writes at start | rest: % core | sent B/s "
        "| received B/s | reads/s, writes/s | restarts/s | scaled: % core | sent B/s "
        "| received B/s | memory MB | configuration s | drain s |"
    )
    print("|" + " --- |" * 14)
    rand = random.Random(SEED)
    for count in NODES:
        row = run_nodes(count, rand)
        print(
            f"| {count} | {row['start_s']:.1f} | {row['start_reads']}, "
            f"{row['start_writes']} | {cells(row['rest'])} "
            f"| {row['reads_per_s']:.1f}, {row['writes_per_s']:.1f} "
            f"| {row['restarts_per_s']:.2f} | {cells(row['scaled'])} "
            f"| {row['memory']:.0f} | {row['config_s']:.2f} | {row['drain_s']:.2f} |",
            flush=True,
        )
    print("\nReducer states in model time, 1% loss, 0 to 40 ms a datagram.\n")
    print("| members | drain s | configuration s |")
    print("|" + " --- |" * 3)
    for count in MEMBERS:
        count, drain_s, config_s = run_model(count)
        print(f"| {count} | {drain_s:.2f} | {config_s:.2f} |", flush=True)


if __name__ == "__main__":
    main()
