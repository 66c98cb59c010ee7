"""pimentoline.rules_version: which rules version is in force."""

import random
from dataclasses import replace

from .effects import FetchRules, IncrementCounter, LogEntry, RejectCall, Reply
from .gossip import push, running_peers
from .member_records import GOSSIP_SENDS
from .messages import RulesAck, RulesPush, RulesReply, RulesRequest
from .verdict import Verdict

__all__ = [
    "on_message",
    "on_rules_version_received",
    "on_rules_loaded",
    "on_tick",
    "rejection_if_outdated",
]

# An accepted version is in force everywhere within 5 s. It is announced to every node
# within 2 s, so a running node may answer calls by the one before for 3 s more.
GRACE_S = 3.0
# A process that did not run for this long can have missed an accepted version.
PAUSE_S = 3.0
# A fetch over TCP ends after at most 2 s; earlier repetitions would pile up.
FETCH_GAP_S = 1.0


def rejection_if_outdated(state, event):
    """Return the effects that reject a call, or () if calls are served.

    At boot and after a pause, the node first has to learn the highest version.
    """
    rules, last_tick = state.rules, state.mesh.last_tick
    paused = last_tick is not None and event.now - last_tick > PAUSE_S
    behind = rules.version < rules.known_version
    if not (rules.must_check or paused):
        if not behind or event.now - rules.outdated_since <= GRACE_S:
            return ()
    detail = (
        f"rules version {rules.version} is in force, {rules.known_version} is known"
    )
    code = "rules-outdated"
    reject = RejectCall(event.call.call_id, 503, code, Verdict.NOT_RUN, detail)
    return (reject, IncrementCounter(f"calls.{code}"))


def _hear(state, version, now):
    """Note the highest version that anyone has named."""
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


def _settle(state, confirmed=False):
    """End the check once it was answered and the highest version is in force."""
    rules = state.rules
    if not rules.must_check:
        return state
    answered = rules.answered or confirmed
    if answered and rules.version >= rules.known_version:
        rules = replace(rules, confirmed=True, must_check=False, answered=False)
    else:
        rules = replace(rules, answered=answered)
    return replace(state, rules=rules)


def _fetch(state, addr, now):
    """Ask for the highest version, unless it was asked for a moment ago."""
    rules = state.rules
    if (
        rules.requested_version >= rules.known_version
        and now - rules.requested_at < FETCH_GAP_S
    ):
        return state, ()
    rules = replace(rules, requested_version=rules.known_version, requested_at=now)
    return replace(state, rules=rules), (FetchRules(rules.known_version, addr),)


def on_message(state, event):
    """Compare the versions that every message names, and answer for the rules."""
    now, rules = event.now, state.rules
    state = _hear(state, max(event.rules_version, event.known_rules_version), now)
    state = _settle(state, event.is_reply and event.rules_confirmed)
    match event.body:
        case RulesRequest(version) if version <= rules.version:
            return state, (Reply(RulesReply(rules.version, rules.text)),)
        case RulesPush(version) if version <= rules.version:
            # The runtime has raised `RulesLoaded` for the text before, if it is valid.
            return state, (Reply(RulesAck(rules.version)),)
        case RulesReply() | RulesPush():
            return state, ()
    if event.rules_version > rules.version:
        return _fetch(state, event.addr, now)
    return state, ()


def on_rules_version_received(state, event):
    """Note a version that the store has named, and fetch it if it is newer."""
    if event.version < state.rules.version:
        return _settle(state, event.confirmed), (
            IncrementCounter("rules.older_ignored"),
        )
    state = _hear(state, event.version, event.now)
    state = _settle(state, event.confirmed)
    if event.version <= state.rules.version:
        return state, ()
    member = state.mesh.members.get(event.source)
    return _fetch(state, member.addr if member else None, event.now)


def on_rules_loaded(state, event):
    """Put a newer version in force; count and ignore any other."""
    rules = state.rules
    if event.version <= rules.version:
        older = event.version < rules.version
        return state, (IncrementCounter("rules.older_ignored"),) if older else ()
    state = _hear(state, event.version, event.now)
    # The member record is left as it is: every message names the version anyway, and
    # 720 new records for each change would exceed the control-plane limit.
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
    state = _settle(replace(state, rules=rules))
    state, pushed = push(state, event.now, state.mesh.draw)
    return state, (entry, *pushed)


def on_tick(state, event):
    """Repeat a fetch that has failed; check the version again after a pause."""
    now, last_tick = event.now, state.mesh.last_tick
    effects = ()
    if last_tick is not None and now - last_tick > PAUSE_S:
        rules = replace(state.rules, must_check=True, answered=False)
        state = replace(state, rules=rules)
        effects = (IncrementCounter("node.paused"),)
    rules = state.rules
    if not rules.must_check and rules.version >= rules.known_version:
        return state, effects
    peers = running_peers(state)
    addr = random.Random(event.draw).choice(peers).addr if peers else None
    state, fetched = _fetch(state, addr, now)
    return state, effects + fetched
