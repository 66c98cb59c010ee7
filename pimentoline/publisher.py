"""pimentoline.publisher: what a node reads from and writes to the store."""

import asyncio
import difflib
import hashlib
import time

from . import events as ev
from .errors import PimentolineError
from .messages import RulesAck, RulesPush
from .rumours import running_peers

__all__ = ["Publisher"]

HEAD_KEY = "config/head"
PUSH_PEERS = 3
# Leaves enough of the 5 s in which an accepted version is in force everywhere.
PUSH_TIMEOUT_S = 2.5


class Publisher:
    """Configuration and audit trail of one node in the store.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node):
        self._node = node

    async def load_from_store(self):
        """Take the rules in the store if they are newer than those in force."""
        node = self._node
        if node.store is None:
            return
        try:
            head = await node.store.get(HEAD_KEY)
            version = head.value["version"] if head.version else 0
        except (PimentolineError, KeyError, TypeError):
            node.metrics.count("store.failed")
            return
        try:
            if version > node.state.rules.version:
                row = await node.store.get(f"config/{version}")
                node.load_rules(version, row.value["text"], "store")
        except (PimentolineError, KeyError, TypeError):
            node.metrics.count("store.failed")
        # The version is known even if its text could not be read.
        node.dispatch(ev.RulesHeard(node.clock(), version, "store", confirmed=True))

    async def apply(self, base, text, author, attempt):
        """Write a new rules version if `base` is still in force.

        Returns
        -------
        dict
            `{"result": "accepted" | "conflict" | "unknown", ...}`.
        """
        node = self._node
        try:
            head = await node.store.get(HEAD_KEY)
        except PimentolineError as exc:
            return {"result": "unavailable", "detail": exc.detail}
        current = head.value if head.version else {"version": 0, "attempt": ""}
        if current["attempt"] == attempt:
            return await self._accepted(current["version"], text)
        if current["version"] != base:
            return {"result": "conflict", "head": current}
        version = base + 1
        digest = hashlib.sha256(text.encode()).hexdigest()
        diff = list(
            difflib.unified_diff(
                node.state.rules.text.splitlines(), text.splitlines(), lineterm=""
            )
        )
        new = {"version": version, "digest": digest, "attempt": attempt}
        audit = {
            "version": version,
            "author": author,
            "time": time.time(),
            "attempt": attempt,
            "base": base,
            "diff": diff,
        }
        puts = [
            (HEAD_KEY, new),
            (f"config/{version}", {"text": text}),
            (f"audit/{version:010d}", audit),
        ]
        try:
            done = await node.store.commit([(HEAD_KEY, head.version)], puts)
        except PimentolineError:
            return await self._resolve(version, text, attempt)
        if not done:
            return await self._resolve(version, text, attempt)
        return await self._accepted(version, text)

    async def _resolve(self, version, text, attempt):
        """Find out whether a write without an answer took effect."""
        try:
            head = await self._node.store.get(HEAD_KEY)
        except PimentolineError as exc:
            return {"result": "unknown", "attempt": attempt, "detail": exc.detail}
        if head.version and head.value["attempt"] == attempt:
            return await self._accepted(version, text)
        return {"result": "conflict", "head": head.value}

    async def _accepted(self, version, text):
        """Put the version in force here and have peers hold it before saying so."""
        node = self._node
        node.load_rules(version, text, "store")
        peers, held_by = await self._push(version, text)
        answer = {"result": "accepted", "version": version, "held_by": 1 + held_by}
        if peers and not held_by:
            answer["detail"] = "accepted, held by this node only"
        return answer

    async def _push(self, version, text):
        """Send the text to peers until `PUSH_PEERS` hold it.

        Returns
        -------
        peers : int
            Peers that exist.
        held_by : int
            Peers that have acknowledged.
        """
        node = self._node
        peers = running_peers(node.state)
        node.random.shuffle(peers)
        # A version held in another region survives the loss of this one.
        peers.sort(key=lambda record: record.region == node.state.me.region)
        left, held_by = [record.addr for record in peers], 0
        deadline = node.clock() + PUSH_TIMEOUT_S
        while left and held_by < PUSH_PEERS and node.clock() < deadline:
            group = left[: PUSH_PEERS - held_by]
            left = left[len(group) :]
            bodies = await asyncio.gather(
                *(node.ask(addr, RulesPush(version, text)) for addr in group)
            )
            held_by += sum(
                isinstance(body, RulesAck) and body.version >= version
                for body in bodies
            )
        return len(peers), held_by

    async def history(self, limit=100):
        """Return the audit rows, oldest first."""
        rows = await self._node.store.scan("audit/", limit)
        return [row.value for row in rows]
