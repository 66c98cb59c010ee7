"""pimentoline.rules_version: the rules version in force and fetches of newer ones.

Each event handler returns the new state and a tuple of effects.
"""

import random
from dataclasses import replace

from .effects import FetchRules, IncrementCounter, LogEntry, RejectCall, Reply
from .gossip import push_gossip, running_peers
from .member_records import GOSSIP_SENDS
from .messages import RulesAck, RulesPush, RulesReply, RulesRequest
from .verdict import Verdict

__all__ = [
    "on_message",
    "on_rules_loaded",
    "on_rules_version_received",
    "on_tick",
    "rejection_if_outdated",
]

# An accepted version has to be in force at every node within 5 s. Gossip announces it
# within 2 s, so a running node may serve calls by the previous version for 3 s more.
GRACE_PERIOD_S = 3.0
# A process without a tick for longer was paused and may have missed a version.
MAX_TICK_GAP_S = 3.0
# A fetch over TCP takes up to 2 s; with a new one at each tick, they would pile up.
MIN_FETCH_INTERVAL_S = 1.0


def rejection_if_outdated(state, event):
    """Return the effects that reject a call, or () if the rules are up to date.

    At boot and after a pause, calls are rejected until the node has put the highest
    version in force. A running node serves calls by an outdated version for
    `GRACE_PERIOD_S`.

    Parameters
    ----------
    state : State
    event : CallArrived

    Returns
    -------
    tuple of effects
    """
    rules, last_tick = state.rules, state.mesh.last_tick
    paused = last_tick is not None and event.now - last_tick > MAX_TICK_GAP_S
    behind = rules.version < rules.known_version
    if not (rules.version_check_pending or paused):
        if not behind or event.now - rules.outdated_since <= GRACE_PERIOD_S:
            return ()
    detail = (
        f"rules version {rules.version} is in force, {rules.known_version} is known"
    )
    code = "rules-outdated"
    reject = RejectCall(event.call.call_id, 503, code, Verdict.NOT_RUN, detail)
    return (reject, IncrementCounter(f"calls.{code}"))


def _record_known_version(state, version, now):
    """Record a version that a peer or the store reported if it is the highest known."""
    rules = state.rules
    if version <= rules.known_version:
        return state
    outdated_since = (
        rules.outdated_since if rules.version < rules.known_version else now
    )
    return replace(
        state,
        rules=replace(rules, known_version=version, outdated_since=outdated_since),
    )


def _finish_check(state, confirmed=False):
    """End the version check if it has succeeded.

    It succeeds once the store or a confirmed peer has reported its version and the
    highest known version is in force. A peer is confirmed if it has completed a version
    check itself. `confirmed` is True if the event being handled is such a report.
    """
    rules = state.rules
    if not rules.version_check_pending:
        return state
    report_received = rules.report_received or confirmed
    if report_received and rules.version >= rules.known_version:
        rules = replace(
            rules, confirmed=True, version_check_pending=False, report_received=False
        )
    else:
        rules = replace(rules, report_received=report_received)
    return replace(state, rules=rules)


def _fetch(state, addr, now):
    """Fetch the highest known version, unless a fetch of it has just been started."""
    rules = state.rules
    if (
        rules.requested_version >= rules.known_version
        and now - rules.requested_at < MIN_FETCH_INTERVAL_S
    ):
        return state, ()
    rules = replace(rules, requested_version=rules.known_version, requested_at=now)
    return replace(state, rules=rules), (FetchRules(rules.known_version, addr),)


def on_message(state, event):
    """Compare the versions in a message with that of this node, and reply to requests.

    If the sender has a newer version in force, it is fetched from the sender.
    """
    now, rules = event.now, state.rules
    state = _record_known_version(
        state, max(event.rules_version, event.known_rules_version), now
    )
    state = _finish_check(state, event.is_reply and event.rules_confirmed)
    match event.body:
        case RulesRequest(version) if version <= rules.version:
            return state, (Reply(RulesReply(rules.version, rules.text)),)
        case RulesPush(version) if version <= rules.version:
            # If the text is valid, the runtime has already raised `RulesLoaded` for it.
            return state, (Reply(RulesAck(rules.version)),)
        case RulesReply() | RulesPush():
            return state, ()
    if event.rules_version > rules.version:
        return _fetch(state, event.addr, now)
    return state, ()


def on_rules_version_received(state, event):
    """Record a version that the store or a peer reported; fetch it if it is newer."""
    if event.version < state.rules.version:
        return _finish_check(state, event.confirmed), (
            IncrementCounter("rules.older_ignored"),
        )
    state = _record_known_version(state, event.version, event.now)
    state = _finish_check(state, event.confirmed)
    if event.version <= state.rules.version:
        return state, ()
    member = state.mesh.members.get(event.source)
    return _fetch(state, member.addr if member else None, event.now)


def on_rules_loaded(state, event):
    """Put a newer version in force; ignore any other, and count older ones."""
    rules = state.rules
    if event.version <= rules.version:
        older = event.version < rules.version
        return state, (IncrementCounter("rules.older_ignored"),) if older else ()
    state = _record_known_version(state, event.version, event.now)
    # The member record is not renewed: every message carries the version anyway, and a
    # new record of each of 720 nodes for every change of the rules would exceed the
    # limit on control-plane traffic.
    rules = replace(
        state.rules,
        version=event.version,
        text=event.text,
        ruleset=event.ruleset,
        source=event.source,
        remaining_sends=GOSSIP_SENDS,
        outdated_since=event.now,
    )
    entry = LogEntry(
        "rules:in-force", (("version", event.version), ("source", event.source))
    )
    state = _finish_check(replace(state, rules=rules))
    state, pushed = push_gossip(state, event.now, state.mesh.draw)
    return state, (entry, *pushed)


def on_tick(state, event):
    """Fetch newer rules while needed, and start a version check after a pause."""
    now, last_tick = event.now, state.mesh.last_tick
    effects = ()
    if last_tick is not None and now - last_tick > MAX_TICK_GAP_S:
        rules = replace(state.rules, version_check_pending=True, report_received=False)
        state = replace(state, rules=rules)
        effects = (IncrementCounter("node.paused"),)
    rules = state.rules
    if not rules.version_check_pending and rules.version >= rules.known_version:
        return state, effects
    peers = running_peers(state)
    addr = random.Random(event.draw).choice(peers).addr if peers else None
    state, fetched = _fetch(state, addr, now)
    return state, effects + fetched
