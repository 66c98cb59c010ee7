"""Nodes that follow a model of the store in simulated time, with links between them."""

import asyncio
from types import SimpleNamespace

from pimentoline.twohop.model import Member
from pimentoline.twohop.store_sync import StoreSync
from pimentoline.twohop.target_status import StatusTracker
from standins.store_model import StoreClient, StoreModel

CONFIG_ROW = ("op", "config")
# Time of a frame from one node to another, seconds.
LINK_DELAY_S = 0.01


class ModelCluster:
    """A store and nodes that are members of one cluster.

    Attributes
    ----------
    store : StoreModel
    nodes : list of ModelNode
    cuts, silent_cuts : set of frozenset
        Pairs of node names whose links are cut, and of those whose frames are lost
        although their links seem to work.
    newest : int
        Version of the newest configuration.
    """

    def __init__(self, count):
        self.store = StoreModel()
        self.nodes = [ModelNode(self, number) for number in range(count)]
        self.cuts = set()
        self.silent_cuts = set()
        self.newest = 1
        self.store.put(CONFIG_ROW, b"1")

    def change(self):
        """Write a newer configuration."""
        self.newest += 1
        self.store.put(CONFIG_ROW, str(self.newest).encode())

    def change_without_responses(self):
        """Write a newer configuration whose responses to all waiting nodes are lost."""
        self.store.silence_watches()
        self.change()

    def behind(self):
        """Return the names of the running nodes without the newest configuration."""
        return [n.name for n in self.nodes if n.runs and n.version != self.newest]

    def start(self):
        """Start all nodes."""
        for node in self.nodes:
            node.store_sync.start()

    def split(self, position, cuts):
        """Add the pairs of nodes before and from a position to a set of cuts."""
        for before in self.nodes[:position]:
            for behind in self.nodes[position:]:
                cuts.add(frozenset((before.name, behind.name)))

    def close(self):
        """Stop all nodes."""
        for node in self.nodes:
            node.store_sync.stop()


class ModelNode:
    """A node that follows the store and serves no calls; also its own `Peers`.

    Attributes
    ----------
    killed, frozen : bool
        A killed node has no links. A frozen node does nothing, and its links stay open.
    version : int
        Version of its configuration.
    announcements : int
        Number of times that it announced a read of the configuration.
    """

    def __init__(self, cluster, number):
        self.cluster = cluster
        self.name = f"n{number:03}"
        self.member = Member(self.name, ("10.0.0.1", 9000 + number), "d", "r", "s")
        self.killed = self.frozen = False
        self.version = self.announcements = 0
        self.config = SimpleNamespace(offer=self._offer)
        self.target = SimpleNamespace(status_tracker=StatusTracker())
        self.peers = self
        self.replicas = SimpleNamespace(
            note_row=lambda node, status: None, forget=lambda node: None
        )
        self._members = {self.name: self.member}
        self.store_sync = StoreSync(
            StoreClient(cluster.store), CONFIG_ROW, self.member, self
        )

    @property
    def runs(self):
        """Whether the process exists and is not frozen."""
        return not self.killed and not self.frozen

    def kill(self):
        """End the process for good; its member row stays."""
        self.killed = True
        self.store_sync.stop()

    def freeze(self):
        """Let the process stand still for good."""
        self.frozen = True
        self.store_sync.stop()

    def _offer(self, version, text, source):
        if int(text) > self.version:
            self.version = int(text)
            self.broadcast_load()

    # The part of `Peers` that `StoreSync` uses.

    @property
    def members(self):
        """All members, also those that are lost."""
        return list(self._members.values())

    @property
    def connected_members(self):
        """The members with a link, this node included."""
        nodes = {node.name: node for node in self.cluster.nodes}
        return [
            member
            for name, member in self._members.items()
            if not nodes[name].killed
            and frozenset((name, self.name)) not in self.cluster.cuts
        ]

    def set_member(self, member):
        """Add a member."""
        self._members[member.node] = member

    def remove_member(self, node):
        """Remove a member."""
        self._members.pop(node, None)

    def broadcast_load(self, config_read=False):
        """Tell the connected nodes the version, and whether it was just read."""
        self.announcements += config_read
        names = {member.node for member in self.connected_members} - {self.name}
        for node in self.cluster.nodes:
            silent = frozenset((node.name, self.name)) in self.cluster.silent_cuts
            if node.name in names and not silent:
                asyncio.get_running_loop().call_later(
                    LINK_DELAY_S, node._receive, self.version, config_read
                )

    def _receive(self, version, config_read):
        if not self.runs:
            return
        if config_read:
            self.store_sync.note_peer_read()
        self._offer(None, str(version), "peer")
