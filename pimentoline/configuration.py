"""pimentoline.configuration: which rules version is in force."""

from dataclasses import replace

from .effects import Count, FetchRules, LogEntry
from .model import RulesState
from .records import with_own_record

__all__ = ["on_rules_heard", "on_rules_loaded"]


def on_rules_heard(state, event):
    """Fetch a version that is newer than the one in force."""
    rules = state.rules
    if event.version > rules.heard:
        state = replace(state, rules=replace(rules, heard=event.version))
    if event.version <= rules.version:
        return state, ()
    member = state.mesh.members.get(event.source)
    return state, (FetchRules(event.version, member.addr if member else None),)


def on_rules_loaded(state, event):
    """Put a newer version in force; count and ignore any other."""
    rules = state.rules
    if event.version <= rules.version:
        return state, (Count("rules.older_ignored"),)
    heard = max(rules.heard, event.version)
    new = RulesState(event.version, event.text, event.ruleset, event.source, heard)
    entry = LogEntry(
        "rules:in-force", (("version", event.version), ("source", event.source))
    )
    me = state.mesh.members.get(state.me.node_id)
    state = replace(state, rules=new)
    if me is not None:
        state = with_own_record(state, rules_version=event.version)
    return state, (entry,)
