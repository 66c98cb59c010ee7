"""Measures the control-plane cost of a node against the number of members.

The first part runs one real node; this process simulates all other members, which
send it pings, synchronisations and gossip and respond to its messages. The second part
runs real nodes only. The third runs only the reducer of each node, the function that
applies events to its state, in simulated time and over a simulated network, and
measures how long a drain and a configuration take to reach all nodes.

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

from .reduce_cost import LOCATIONS

SEED = 7
# Mesh sizes of the parts with simulated members or in simulated time, and of the part
# with real nodes.
MEMBER_COUNTS = (90, 180, 360, 720)
NODE_COUNTS = (6, 12, 24, 48)
# The first two parts measure a period at rest, when no member restarts, and then one
# with restarts. With simulated members, both periods are long enough to contain
# synchronisations: these members request one 30 s after the start of each period and,
# in the period with restarts, also one after 5 s; the node requests one about every
# 60 s.
SIMULATED_REST_S = 60.0
SIMULATED_RESTARTS_S = 40.0
REAL_REST_S = 30.0
REAL_RESTARTS_S = 24.0
# The extra cost of restarts is scaled to this number of restarts per day in the whole
# mesh.
RESTARTS_PER_DAY = 110
SIMULATED_RESTARTS_PER_S = 1.0
REAL_RESTART_INTERVAL_S = 4.0
RULES_TEXT = "pause nobody  # asked by Wanjiru\n"


class UsageSample:
    """CPU time and mesh traffic of a node since its start, and the time of the sample.

    Parameters
    ----------
    pid : int
    counters : dict
        Counters of the node, by name.
    """

    def __init__(self, pid, counters):
        with open(f"/proc/{pid}/schedstat") as file:
            self.cpu_s = int(file.read().split()[0]) / 1e9
        self.bytes_sent = counters.get("mesh.bytes_sent", 0)
        self.bytes_received = counters.get("mesh.bytes_received", 0)
        self.taken_at = time.monotonic()

    def rates(self, before):
        """Return the mean rates since an earlier sample.

        Returns
        -------
        tuple of float
            Share of a core in %, bytes/s sent and bytes/s received.
        """
        elapsed_s = self.taken_at - before.taken_at
        return (
            100.0 * (self.cpu_s - before.cpu_s) / elapsed_s,
            (self.bytes_sent - before.bytes_sent) / elapsed_s,
            (self.bytes_received - before.bytes_received) / elapsed_s,
        )


def memory_mb(pid):
    """Return the resident memory of a process in MB."""
    with open(f"/proc/{pid}/status") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def take_sample(cluster, name):
    """Return a `UsageSample` of a node."""
    counters = cluster.admin(name, "/v1/status")[1]["counters"]
    return UsageSample(cluster.nodes[name].popen.pid, counters)


class SimulatedMembers:
    """Simulates `count` members of a mesh that share one address in this process."""

    def __init__(self, count, seed):
        self.rng = random.Random(seed)
        self.mesh = MeshTransport(
            Codec([b"test-key"]), self.on_message, lambda exc: None
        )
        self.addr = self.mesh.bind_addr(("127.0.0.1", 0))
        self.clock = time.monotonic
        identity = Identity("m0", "m0", *LOCATIONS[0], self.addr, self.addr, 1)
        self.state = with_records(
            State(identity), [self.make_record(i) for i in range(count)]
        )
        self.count = count

    def make_record(self, number):
        """Return the record of simulated member `number`, which has one target."""
        region, dc = LOCATIONS[number % len(LOCATIONS)]
        target = Target(f"t{number}", f"s{number % 89}", ("127.0.0.1", 9), region, dc)
        name = f"m{number}"
        return Member(
            name,
            name,
            self.addr,
            region,
            dc,
            1764844800000,  # incarnation: start time, milliseconds
            1,  # seq
            targets=(target,),
        )

    def make_message(self, body):
        """Return a message with a randomly chosen member as its sender."""
        name = f"m{self.rng.randrange(self.count)}"
        return Message(
            name,
            1,  # incarnation; nodes use only those of records
            0,  # rules_version
            body,
            0,  # known_rules_version
            True,  # rules_confirmed
        )

    def on_message(self, message, addr=None):
        """Respond to a message of the node; store the node's own record from gossip.

        Parameters
        ----------
        message : Message
        addr : tuple or None
            Address of the sender of a datagram; None for a message over TCP.

        Returns
        -------
        Message or None
            The response over TCP. Responses to datagrams are sent instead of returned.
        """
        match message.body:
            case Ping(ping_id, requester):
                self.mesh.send((addr,), self.make_message(Ack(ping_id, requester)))
            case SyncRequest():
                return self.make_message(
                    sync_reply(self.state, message.body, self.clock())
                )
            case Gossip(records):
                own = [r for r in records if r.node_id == message.sender]
                self.state = with_records(self.state, own)
                return self.make_message(SyncReply((), ())) if addr is None else None
        return None

    async def send_traffic(self, node_addr, restarts_per_s, seconds):
        """Send the messages that one node of a mesh of this size receives.

        Parameters
        ----------
        node_addr : tuple
            Mesh address of the node.
        restarts_per_s : float
            Restarts per second in the whole mesh.
        seconds : float
            Duration of the traffic.
        """
        ends_at = self.clock() + seconds
        pending_gossip = []
        for second in itertools.count():
            if self.clock() >= ends_at:
                return
            self.mesh.send(
                (node_addr,), self.make_message(Ping(self.rng.getrandbits(60)))
            )
            # Synchronises in the middle of the interval and, if the period is shorter
            # than the interval, also after 5 s.
            if (
                second == SYNC_INTERVAL_S / 2
                or seconds < SYNC_INTERVAL_S
                and second == 5
            ):
                request = SyncRequest(digests(self.state.mesh.members))
                await self.mesh.send_request(node_addr, self.make_message(request))
            for _ in range(int(restarts_per_s)):
                pending_gossip.extend(self.restart_member())
            # On average, a node receives each gossip message as many times as every
            # node sends it. The copies are spread over about 2 s: each second, half of
            # those that remain are sent.
            for message_body in [
                item for item in pending_gossip if self.rng.random() < 0.5
            ]:
                pending_gossip.remove(message_body)
                self.mesh.send((node_addr,), self.make_message(message_body))
            await asyncio.sleep(1.0)

    def restart_member(self):
        """Update a random record as a restart does; yield the gossip to send."""
        name = f"m{self.rng.randrange(1, self.count)}"
        current = self.state.mesh.members[name]
        starting = replace(
            current, incarnation=current.incarnation + 1000, seq=1, targets=()
        )
        changes = (
            replace(current, status=MemberStatus.LEAVING, seq=current.seq + 1),
            starting,
            replace(starting, seq=2, targets=current.targets),
        )
        for record in changes:
            self.state = with_records(self.state, [record], self.clock())
            yield from [Gossip((record,))] * (GOSSIP_SENDS * GOSSIP_FANOUT)


async def measure_with_simulated_members(count, cluster):
    """Measure one real node together with `count` simulated members.

    Returns
    -------
    tuple
        `count`, number of members that the node knows of, rates of `UsageSample.rates`
        at rest, with restarts and scaled to `RESTARTS_PER_DAY`, and memory in MB.
    """
    loop = asyncio.get_running_loop()
    members = SimulatedMembers(count, SEED)
    seeds = "{}:{}".format(*members.addr)
    node = await loop.run_in_executor(
        None, lambda: cluster.start_node(f"fed{count}", seeds=seeds)
    )
    addr = tuple(node.info["mesh"])
    name = f"fed{count}"
    await members.send_traffic(addr, 0, 5.0)
    samples = [take_sample(cluster, name)]
    for restarts_per_s, seconds in (
        (0, SIMULATED_REST_S),
        (SIMULATED_RESTARTS_PER_S, SIMULATED_RESTARTS_S),
    ):
        await members.send_traffic(addr, restarts_per_s, seconds)
        samples.append(await loop.run_in_executor(None, take_sample, cluster, name))
    member_count = cluster.admin(name, "/v1/status")[1]["members"]
    at_rest, restarting = samples[1].rates(samples[0]), samples[2].rates(samples[1])
    restart_ratio = RESTARTS_PER_DAY / 86400 / SIMULATED_RESTARTS_PER_S
    scaled = [a + max(0.0, b - a) * restart_ratio for a, b in zip(at_rest, restarting)]
    return (count, member_count, at_rest, restarting, scaled, memory_mb(node.popen.pid))


async def measure_all_simulated():
    """Measure all sizes of `MEMBER_COUNTS` in parallel; return a list of results."""
    cluster = Cluster()
    try:
        return await asyncio.gather(
            *(measure_with_simulated_members(count, cluster) for count in MEMBER_COUNTS)
        )
    finally:
        cluster.close()


def propagation_s(cluster, names, is_known):
    """Return the seconds until `is_known(name)` has been true for each node name.

    Raises
    ------
    AssertionError
        If it is still false for a node after 15 s.
    """
    started_at = time.monotonic()

    def wait(name):
        wait_until(lambda: is_known(name), 15, name)
        return time.monotonic() - started_at

    with ThreadPoolExecutor(8) as pool:
        return max(pool.map(wait, names))


def store_request_counts(cluster):
    """Return the numbers of reads and transactions so far at the table service.

    The table service is the store of the nodes.
    """
    response = json.loads(http(f"{cluster.table_url}/faults")[2])
    return response["reads"], response["writes"]


def measure_real_nodes(count, rng):
    """Measure a mesh of `count` real nodes.

    Parameters
    ----------
    count : int
    rng : random.Random
        Chooses the nodes that restart.

    Returns
    -------
    dict
        Values of the table that `main` prints. `rest`, `busy` and `scaled` are the
        rates of `UsageSample.rates` at rest, with restarts and scaled to
        `RESTARTS_PER_DAY`.
    """
    cluster = Cluster()
    try:
        cluster.start_table()
        names = [f"n{i}" for i in range(count)]
        started_at = time.monotonic()
        with ThreadPoolExecutor(count) as pool:
            list(
                pool.map(
                    lambda i: cluster.start_node(
                        names[i], *LOCATIONS[i % len(LOCATIONS)]
                    ),
                    range(count),
                )
            )

        def member_count(name):
            return cluster.admin(name, "/v1/status")[1]["members"]

        for name in names:
            wait_until(lambda: member_count(name) == count, 60, f"members at {name}")
        row = {"nodes": count, "start_s": time.monotonic() - started_at}
        row["start_reads"], row["start_writes"] = store_request_counts(cluster)
        cluster.start_target("t1", "n0")
        time.sleep(3.0)
        row["rest"], reads, writes = measure_rates(
            cluster, names, lambda: time.sleep(REAL_REST_S)
        )
        row["reads_per_s"], row["writes_per_s"] = (
            reads / REAL_REST_S,
            writes / REAL_REST_S,
        )
        row["memory"] = statistics.mean(
            memory_mb(cluster.nodes[name].popen.pid) for name in names
        )
        body = {"base": 0, "text": RULES_TEXT, "author": "otieno"}
        body["attempt"] = f"capacity-{count}"
        response = cluster.admin("n1", "/v1/config", "POST", body)[1]
        assert response["result"] == "accepted", response

        def has_rules(name):
            return cluster.admin(name, "/v1/status")[1]["rules"]["version"] == 1

        row["config_s"] = propagation_s(cluster, names, has_rules)
        cluster.admin("n0", "/v1/targets/t1/drain", "POST", {})

        def has_drain(name):
            return '"draining"' in str(cluster.admin(name, "/v1/mesh")[1]).replace(
                "'", '"'
            )

        row["drain_s"] = propagation_s(cluster, names, has_drain)
        restarted = rng.sample(
            names[1:], min(count // 2, int(REAL_RESTARTS_S / REAL_RESTART_INTERVAL_S))
        )
        survivors = [name for name in names if name not in restarted]

        def restart_nodes():
            for number, name in enumerate(restarted):
                cluster.nodes[name].kill()
                region, dc = LOCATIONS[names.index(name) % len(LOCATIONS)]
                cluster.start_node(f"{name}-{number}", region, dc, host=name)
                time.sleep(REAL_RESTART_INTERVAL_S)

        started_at = time.monotonic()
        row["busy"], _, _ = measure_rates(cluster, survivors, restart_nodes)
        row["restarts_per_s"] = len(restarted) / (time.monotonic() - started_at)
        restart_ratio = RESTARTS_PER_DAY / 86400 / row["restarts_per_s"]
        row["scaled"] = [
            a + max(0.0, b - a) * restart_ratio
            for a, b in zip(row["rest"], row["busy"])
        ]
        return row
    finally:
        cluster.close()


def measure_rates(cluster, names, work):
    """Call `work()` and measure what the nodes use meanwhile.

    Returns
    -------
    tuple
        The rates of `UsageSample.rates` as means over the nodes, and the numbers of
        reads and transactions at the table service.
    """
    reads, writes = store_request_counts(cluster)
    before = {name: take_sample(cluster, name) for name in names}
    work()
    rates = [take_sample(cluster, name).rates(before[name]) for name in names]
    after_reads, after_writes = store_request_counts(cluster)
    means = [statistics.mean(column) for column in zip(*rates)]
    return means, after_reads - reads, after_writes - writes


def simulate_propagation(count):
    """Simulate how a drain and a configuration spread to all nodes.

    Returns
    -------
    tuple
        Number of nodes, and the times for the drain and for the configuration,
        seconds of simulated time.
    """
    network = make_network(count, SEED, loss=0.01)
    network.run(8)
    network.announce("n1", "t1")
    network.run(2.5)
    # Renews the announcement, which lapses after 3 s.
    network.announce("n1", "t1")
    started_at = network.now
    network.dispatch("n1", ev.TargetDrained(network.now, "t1"))
    states = network.states

    def all_drained():
        return all(
            network.target_states(name).get("t1") == "draining" for name in states
        )

    drain_s = network.run(10, all_drained) - started_at
    started_at = network.now
    # These nodes have read version 1 from the store; the others fetch it from peers.
    for name in ("n2", "n3", "n4", "n5"):
        network.load_rules(name, 1)
    config_s = (
        network.run(10, lambda: all(s.rules.version == 1 for s in states.values()))
        - started_at
    )
    return count, drain_s, config_s


def format_rates(rates):
    """Return the three values of `UsageSample.rates` as table cells."""
    cpu, sent, received = rates
    return f"{cpu:.2f} | {sent:,.0f} | {received:,.0f}"


def main():
    """Run the three parts one after the other and print their tables."""
    print(
        f"Command: `python -m bench.capacity`, seed {SEED}, {sys.version.split()[0]}.\n"
    )
    print("One real node with simulated members (payload bytes, without IP headers);")
    print(
        f"rest {SIMULATED_REST_S:.0f} s, then {SIMULATED_RESTARTS_S:.0f} s with "
        f"{SIMULATED_RESTARTS_PER_S:.0f} restart/s; "
        f"scaled to {RESTARTS_PER_DAY} a day.\n"
    )
    # `members` counts the simulated ones, `held` those that the node knows of.
    print(
        "| members | held | rest: % core | sent B/s | received B/s "
        "| restarts: % core | sent B/s | received B/s "
        "| scaled: % core | sent B/s | received B/s | memory MB |"
    )
    print("|" + " --- |" * 12)
    for count, known_members, at_rest, restarting, scaled, memory in asyncio.run(
        measure_all_simulated()
    ):
        print(
            f"| {count} | {known_members} | {format_rates(at_rest)} "
            f"| {format_rates(restarting)} | {format_rates(scaled)} "
            f"| {memory:.0f} |",
            flush=True,
        )
    print(
        f"\nReal nodes; rest {REAL_REST_S:.0f} s; one node killed and replaced every "
        f"{REAL_RESTART_INTERVAL_S:.0f} s or more.\n"
    )
    # `all know all s` is the time until every node knows of all nodes.
    print(
        "| nodes | all know all s | reads, writes at start | rest: % core | sent B/s "
        "| received B/s | reads/s, writes/s | restarts/s | scaled: % core | sent B/s "
        "| received B/s | memory MB | configuration s | drain s |"
    )
    print("|" + " --- |" * 14)
    rng = random.Random(SEED)
    for count in NODE_COUNTS:
        row = measure_real_nodes(count, rng)
        print(
            f"| {count} | {row['start_s']:.1f} | {row['start_reads']}, "
            f"{row['start_writes']} | {format_rates(row['rest'])} "
            f"| {row['reads_per_s']:.1f}, {row['writes_per_s']:.1f} "
            f"| {row['restarts_per_s']:.2f} | {format_rates(row['scaled'])} "
            f"| {row['memory']:.0f} | {row['config_s']:.2f} | {row['drain_s']:.2f} |",
            flush=True,
        )
    print("\nReducer states in simulated time, 1% loss, 0 to 40 ms per datagram.\n")
    print("| members | drain s | configuration s |")
    print("|" + " --- |" * 3)
    for count in MEMBER_COUNTS:
        count, drain_s, config_s = simulate_propagation(count)
        print(f"| {count} | {drain_s:.2f} | {config_s:.2f} |", flush=True)


if __name__ == "__main__":
    main()
