"""pimentoline.publisher: reads and writes rules versions and their audit trail."""

import asyncio
import time

from . import events as ev
from .audit import (
    HEAD_KEY,
    AuditRow,
    ConfigRow,
    HeadRow,
    audit_key,
    audit_prefixes,
    config_key,
    diff_lines,
    iso_time,
    parse_row,
    requesters,
    sha256_hex,
)
from .errors import PimentolineError, StoreError
from .gossip import running_peers
from .messages import RulesAck, RulesPush

__all__ = ["Publisher"]

# A reply about a conflict lists the version that replaced the base, and at most this
# many of the latest versions.
MAX_CONFLICTING_VERSIONS = 20
MAX_COMMIT_ATTEMPTS = 2
# An accepted version is pushed to peers until this many have loaded it.
PUSH_PEERS = 3
# Time limit for all pushes of a version. It leaves enough of the 5 s within which an
# accepted version has to be in force at every node.
PUSH_TIMEOUT_S = 2.5


class Publisher:
    """Reads and writes the rules versions and the audit trail in the store.

    Row `config/<version>` of the store has the text of a rules version. The audit row
    `audit/<version>` records its author, time, diff from the version before, and the
    requesters of the changed rules; each rule names its requester in a comment. The
    head row `config/head` has the number of the latest accepted version.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node):
        self._node = node

    async def load_from_store(self):
        """Load the rules from the store if they are newer than those in force."""
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
        # If the text could not be read, this event makes the node fetch it again. The
        # version is confirmed because the store itself reported it.
        node.dispatch(
            ev.RulesVersionReceived(node.clock(), version, "store", confirmed=True)
        )

    async def apply(self, base, text, author, attempt):
        """Write a new rules version if `base` is still in force.

        The head row, the text and the audit row are written in one transaction that
        checks the version of the head row, so of several writers with the same base
        exactly one succeeds.

        Parameters
        ----------
        base : int
            Version that the text is based on; 0 if there is none yet.
        text : str
            A valid rules text.
        author : str
        attempt : str
            Id of this attempt to apply the text. A text that is sent again with the
            same id and base is accepted at most once and gets the same outcome.

        Returns
        -------
        dict
            `detail` explains some results. `result` is one of these:

            `accepted`, with `version`. If a later version is in force, also with
            `superseded_by`, that version; otherwise with `held_by`, the number of nodes
            known to have loaded the version or a later one.
            `conflict`, with `won`, a list of accepted versions. If another attempt
            replaced `base`, `won` has the version that did and the latest ones; `head`
            is the head row, and `differs` the diff from the text in force to `text`. If
            `base` does not exist, `won` is empty. If this attempt was accepted with
            another text, `won` has only that version.
            `unknown`, with `attempt`: the text may or may not have been accepted.
            `unavailable`: this request has written nothing.
        """
        try:
            head_row, head = await self._head()
            latest = head.version if head else 0
            if latest > base:
                return await self._outcome(base, text, attempt)
            if latest < base:
                detail = f"version {base} does not exist; {latest} is in force"
                return {"result": "conflict", "detail": detail, "won": []}
            base_text = await self._text(base) if base else ""
        except PimentolineError as exc:
            return {"result": "unavailable", "detail": exc.detail}
        version = base + 1
        digest = sha256_hex(text)
        new_head = HeadRow(version=version, digest=digest, attempt=attempt)
        audit = AuditRow(
            version=version,
            author=author,
            time=time.time(),
            attempt=attempt,
            base=base,
            digest=digest,
            diff=diff_lines(base_text, text),
            requesters=requesters(base_text, text),
        )
        puts = [
            (HEAD_KEY, new_head.model_dump()),
            (config_key(version), {"text": text}),
            (audit_key(version), audit.model_dump()),
        ]
        return await self._write(head_row, puts, base, text, attempt)

    async def _write(self, head_row, puts, base, text, attempt):
        """Commit a version and return the outcome.

        Sending the transaction twice is safe: it checks the version of the head row,
        so the second one fails if the first one took effect.
        """
        store = self._node.store
        outcome = None
        for _ in range(MAX_COMMIT_ATTEMPTS):
            try:
                if await store.commit([(HEAD_KEY, head_row.version)], puts):
                    return await self._load_accepted(base + 1, text)
            except StoreError as exc:
                if outcome is None and not exc.may_have_written:
                    return {"result": "unavailable", "detail": exc.detail}
            try:
                outcome = await self._outcome(base, text, attempt)
            except PimentolineError as exc:
                return {"result": "unknown", "attempt": attempt, "detail": exc.detail}
            if outcome["result"] != "unknown":
                return outcome
        return outcome

    async def _outcome(self, base, text, attempt):
        """Return the outcome of an attempt whose write may have taken effect.

        Versions are consecutive, so the audit row of the version after the base names
        the only attempt with this base that was accepted, however many versions
        followed.
        """
        _, head = await self._head()
        latest = head.version if head else 0
        if latest <= base:
            # The write may still take effect.
            detail = f"version {base} is still in force"
            return {"result": "unknown", "attempt": attempt, "detail": detail}
        rows = await self._audit_rows(
            latest, min(latest - base, MAX_CONFLICTING_VERSIONS)
        )
        first = parse_row(AuditRow, await self._node.store.get(audit_key(base + 1)))
        if first.attempt == attempt:
            if first.digest != sha256_hex(text):
                detail = f"attempt {attempt} was accepted with another text"
                return {
                    "result": "conflict",
                    "detail": detail,
                    "won": [_version_summary(first)],
                }
            if latest == base + 1:
                return await self._load_accepted(latest, text)
            # A later version is in force, and loading this one would revert it.
            return {"result": "accepted", "version": base + 1, "superseded_by": latest}
        won = [
            _version_summary(row) for row in reversed(rows) if row.version > base + 1
        ]
        return {
            "result": "conflict",
            "head": head.model_dump(),
            "won": [_version_summary(first), *won],
            "differs": diff_lines(await self._text(latest), text),
        }

    async def _head(self):
        """Return the head row and its parsed value, None before the first version."""
        row = await self._node.store.get(HEAD_KEY)
        return row, parse_row(HeadRow, row) if row.version else None

    async def _text(self, version):
        """Return the text of a rules version that exists."""
        row = await self._node.store.get(config_key(version))
        return parse_row(ConfigRow, row).text

    async def _audit_rows(self, newest, count):
        """Return at most `count` audit rows, from version `newest` downwards."""
        # Each prefix covers ten versions.
        scans = [
            self._node.store.scan(prefix, 10)
            for prefix in audit_prefixes(newest, count)
        ]
        store_rows = [row for rows in await asyncio.gather(*scans) for row in rows]
        rows = [parse_row(AuditRow, row) for row in store_rows]
        rows = [row for row in rows if row.version <= newest]
        return sorted(rows, key=lambda row: row.version, reverse=True)[:count]

    async def _load_accepted(self, version, text):
        """Load an accepted version here and at some peers, and return the reply."""
        node = self._node
        node.load_rules(version, text, "store")
        peers, held_by = await self._push(version, text)
        reply = {"result": "accepted", "version": version, "held_by": 1 + held_by}
        if peers and not held_by:
            reply["detail"] = "accepted, held by this node only"
        return reply

    async def _push(self, version, text):
        """Send the rules text to peers until `PUSH_PEERS` have loaded it.

        Returns
        -------
        peers : int
            Number of running peers.
        held_by : int
            Number of peers that have acknowledged the version or a later one.
        """
        node = self._node
        peers = running_peers(node.state)
        node.random.shuffle(peers)
        # Peers in other regions come first, so that the version survives the loss of
        # this region.
        peers.sort(key=lambda record: record.region == node.state.identity.region)
        remaining, held_by = [record.addr for record in peers], 0
        deadline = node.clock() + PUSH_TIMEOUT_S
        while remaining and held_by < PUSH_PEERS and node.clock() < deadline:
            group = remaining[: PUSH_PEERS - held_by]
            remaining = remaining[len(group) :]
            bodies = await asyncio.gather(
                *(node.send_request(addr, RulesPush(version, text)) for addr in group)
            )
            held_by += sum(
                isinstance(body, RulesAck) and body.version >= version
                for body in bodies
            )
        return len(peers), held_by

    async def history(self, limit=20, before=None):
        """Return audit rows, the latest first.

        Parameters
        ----------
        limit : int
            Maximum number of rows.
        before : int or None
            Return only versions below this one.

        Returns
        -------
        list of dict

        Raises
        ------
        StoreError
        """
        _, head = await self._head()
        newest = head.version if head else 0
        if before is not None:
            newest = min(newest, before - 1)
        if newest < 1:
            return []
        rows = await self._audit_rows(newest, limit)
        return [{**row.model_dump(), "time": iso_time(row.time)} for row in rows]

    async def rules_text(self, version):
        """Return the text of a rules version, or None if there is no such version.

        Raises
        ------
        StoreError
        """
        row = await self._node.store.get(config_key(version))
        return parse_row(ConfigRow, row).text if row.version else None


def _version_summary(row):
    """Return the fields of an audit row that a reply about a conflict contains."""
    return {
        "version": row.version,
        "author": row.author,
        "time": iso_time(row.time),
        "attempt": row.attempt,
    }
