"""Simulates reducers that exchange messages over a lossy network."""

import heapq
import random
from dataclasses import replace

from pimentoline import effects as ef
from pimentoline import events as ev
from pimentoline import messages as ms
from pimentoline.member_records import digests, own_record, with_own_record
from pimentoline.model import Identity, RulesState, State, Target
from pimentoline.reducer import reduce
from pimentoline.rules.ruleset import RuleSet

# Interval between the ticks of a node, seconds.
TICK_S = 0.2


class SimulatedNetwork:
    """Delivers messages between nodes; a seed determines losses, duplicates and delays.

    The name of a node is its id. `stopped` contains the names of nodes that neither run
    nor receive. Nodes with different values in `partition_sides` cannot reach each
    other. `store_version` is the rules version in the store, None while the store is
    down. `check` is called with the name of a node and its states before and after each
    event. `logs` contains the first state and all events of each node, `counts` the
    counters summed over all nodes, and `rejected` the node name and error code of each
    rejected call.

    Parameters
    ----------
    seed : int
        Seed of the random number generator.
    loss, duplication : float
        Probability that a datagram is lost or duplicated.
    delay_s : float
        Mean delay of a message, seconds.
    """

    def __init__(self, seed, loss=0.0, duplication=0.0, delay_s=0.02):
        self.rand = random.Random(seed)
        self.loss, self.duplication, self.delay_s = loss, duplication, delay_s
        self.now = 0.0
        self.states, self.queue, self.logs = {}, [], {}
        self.sequence = 0
        self.stopped, self.names_by_addr = set(), {}
        self.partition_sides = {}
        self.store_version = None
        self.counts = {}
        self.rejected = []
        self.check = lambda name, before, after: None

    def add(
        self, name, region="rift", host=None, seeds=(), version_check_pending=False
    ):
        """Add a node and synchronise it with the nodes named in `seeds`.

        `host` is the name of its host, by default that of the node. If
        `version_check_pending` is True, the node refuses calls until the store or a
        confirmed peer has reported its rules version.
        """
        port = len(self.logs) + 1
        addr = ("10.0.0.1", port)
        incarnation = int(self.now * 1000) + 1
        identity = Identity(name, host or name, region, "dc", addr, addr, incarnation)
        state = State(
            identity,
            RulesState(
                version_check_pending=version_check_pending,
                confirmed=not version_check_pending,
            ),
        )
        self.states[name] = with_own_record(state)
        self.names_by_addr[addr] = name
        self.logs[name] = (self.states[name], [])
        self.schedule(self.rand.uniform(0, TICK_S), name, "tick")
        for seed_node in seeds:
            request = ms.SyncRequest(digests(self.states[name].mesh.members))
            self.send_request(name, self.addr(seed_node), request)

    def addr(self, name):
        """Return the address of a node."""
        return self.states[name].identity.mesh_addr

    def schedule(self, delay_s, name, item):
        """Queue an item for a node: a tick, an event or an effect that takes time."""
        self.sequence += 1
        heapq.heappush(self.queue, (self.now + delay_s, self.sequence, name, item))

    def reachable(self, src, dst):
        """Return whether messages from one node can reach another."""
        if dst is None or src in self.stopped or dst in self.stopped:
            return False
        return self.partition_sides.get(src) == self.partition_sides.get(dst)

    def name_of(self, addr):
        """Return the name of the node with an address, or None."""
        return self.names_by_addr.get(addr)

    def message_event(self, src, body, sender_addr, is_reply=False):
        """Return the event that a message from `src` raises at its receiver.

        `sender_addr` is None if the receiver does not know it. The time of the event is
        set on receipt.
        """
        rules = self.states[src].rules
        return ev.MessageReceived(
            0.0,
            src,
            sender_addr,
            body,
            rules.version,
            rules.known_version,
            rules.confirmed,
            is_reply,
        )

    def send_request(self, src, addr, body):
        """Deliver a message and its reply at once and without loss; return the reply.

        Models an exchange over TCP. Returns None if the receiver cannot be reached or
        does not reply.
        """
        dst = self.name_of(addr)
        if not self.reachable(src, dst):
            return None
        reply = self.receive(dst, self.message_event(src, body, None))
        if reply is not None:
            self.receive(src, self.message_event(dst, reply, addr, is_reply=True))
        return reply

    def receive(self, name, event):
        """Load the rules that a message carries, if any, and then dispatch its event.

        The runtime does so in the same order.
        """
        match event.body:
            case ms.RulesReply(version, text) | ms.RulesPush(version, text):
                self.load_rules(name, version, text, event.sender)
        return self.dispatch(name, replace(event, now=self.now))

    def load_rules(self, name, version, text="", source="store"):
        """Report to a node that a rules version was loaded; the rules are empty."""
        event = ev.RulesLoaded(self.now, version, text, RuleSet(), source)
        self.dispatch(name, event)

    def dispatch(self, name, event):
        """Reduce an event at a node, execute the effects and return any reply."""
        before = self.states[name]
        step = reduce(before, event)
        self.logs[name][1].append(event)
        self.states[name] = step.state
        self.check(name, before, step.state)
        reply = None
        for effect in step.effects:
            match effect:
                case ef.SendMessage(addrs, body):
                    for addr in addrs:
                        self.send(name, addr, body)
                case ef.QueryPeer(addr, body):
                    self.schedule(self.delay_s, name, effect)
                case ef.FetchRules():
                    self.schedule(self.delay_s, name, effect)
                case ef.Reply(body):
                    reply = body
                case ef.RejectCall():
                    self.rejected.append((name, effect.code))
                case ef.IncrementCounter(counter, amount):
                    self.counts[counter] = self.counts.get(counter, 0) + amount
        return reply

    def send(self, src, addr, body):
        """Send a datagram, which may be lost, duplicated or reordered."""
        dst = self.name_of(addr)
        if not self.reachable(src, dst) or self.rand.random() < self.loss:
            return
        event = self.message_event(src, body, self.addr(src))
        copies = 2 if self.rand.random() < self.duplication else 1
        for _ in range(copies):
            self.schedule(self.rand.uniform(0, 2 * self.delay_s), dst, event)

    def fetch_rules(self, name, effect):
        """Fetch rules from a peer, then from the store if they are still outdated."""
        if effect.addr is not None:
            self.send_request(name, effect.addr, ms.RulesRequest(effect.version))
        rules = self.states[name].rules
        outdated = rules.version_check_pending or rules.version < effect.version
        if outdated and self.store_version is not None:
            self.load_rules(name, self.store_version)
            received = ev.RulesVersionReceived(
                self.now, self.store_version, "store", confirmed=True
            )
            self.dispatch(name, received)

    def run(self, seconds, until=None):
        """Advance the simulated time until `until()` is true, and return the time.

        Raises `AssertionError` if `until()` is not true within `seconds`. Without
        `until`, the time advances by `seconds`.
        """
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            if until is not None and until():
                return self.now
            self.now, _, name, item = heapq.heappop(self.queue)
            if item == "tick":
                self.schedule(TICK_S, name, "tick")
                if name not in self.stopped:
                    draw = self.rand.getrandbits(64)
                    self.dispatch(name, ev.Tick(self.now, draw))
            elif name in self.stopped:
                continue
            elif isinstance(item, ef.QueryPeer):
                self.send_request(name, item.addr, item.body)
            elif isinstance(item, ef.FetchRules):
                self.fetch_rules(name, item)
            else:
                self.receive(name, item)
        self.now = end
        assert until is None or until(), f"condition not met within {seconds} s"
        return self.now

    def announce(self, name, target_id, **more):
        """Announce a target at a node; `more` contains further fields of the target."""
        identity = self.states[name].identity
        target = Target(
            target_id, "hive-ledger", ("10.0.0.2", 80), identity.region, identity.dc
        )
        event = ev.TargetAnnounced(self.now, replace(target, **more))
        self.dispatch(name, event)

    def target_states(self, name):
        """Return the state of each routable target at a node, by target id."""
        targets = self.states[name].mesh.by_service.get("hive-ledger", ())
        return {target.target_id: target.state.value for target in targets}

    def status(self, observer, member):
        """Return the status of a member in the view of a node, or None if unknown."""
        record = self.states[observer].mesh.members.get(member)
        return record and record.status.value

    def all_report(self, member, status):
        """Return whether all other running nodes give a member this status."""
        return all(
            self.status(name, member) == status
            for name in self.states
            if name not in self.stopped and name != member
        )


def make_network(size, seed, loss=0.0, duplication=0.0):
    """Return a network of `size` nodes, each of which knows all others."""
    network = SimulatedNetwork(seed, loss, duplication)
    regions = ("rift", "coast", "western")
    for i in range(size):
        network.add(f"n{i}", regions[i % 3], seeds=["n0"] if i else [])
    network.run(
        20, lambda: all(len(s.mesh.members) == size for s in network.states.values())
    )
    return network


def own_target_states(network, name):
    """Return the state of each target in a node's own record, by target id."""
    targets = own_record(network.states[name]).targets
    return {target.target_id: target.state.value for target in targets}
