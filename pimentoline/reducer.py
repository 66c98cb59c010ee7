"""pimentoline.reducer: the pure function that applies every event to a node's state."""

from dataclasses import dataclass, replace

from . import calls, membership, probing, rules_version, target_states
from . import events as ev
from .model import State

__all__ = ["Step", "reduce"]


@dataclass(frozen=True, slots=True)
class Step:
    """The next state and the effects that the runtime has to execute, in order."""

    state: State
    effects: tuple = ()


def reduce(state, event):
    """Apply one event to the state of a node.

    The function is pure: replaying a recorded list of events gives the same state.

    Parameters
    ----------
    state : State
    event : data class of `pimentoline.events`

    Returns
    -------
    Step

    Raises
    ------
    TypeError
        If the event is of an unknown class.
    """
    match event:
        case ev.CallArrived():
            # Rejects the call if the node's rules are outdated.
            rejection = rules_version.rejection_if_outdated(state, event)
            if rejection:
                return Step(state, rejection)
            # The call is recorded because only targets of called services are probed.
            return Step(*calls.on_arrived(probing.record_call(state, event), event))
        case ev.ResponseHeadReceived():
            return Step(*calls.on_response_head(state, event))
        case ev.AttemptEnded():
            return Step(*calls.on_attempt_ended(state, event))
        case ev.CallEnded():
            return Step(*calls.on_call_ended(state, event))
        case ev.DeadlinePassed():
            return Step(*calls.on_deadline_passed(state, event))
        case ev.CallerDisconnected():
            return Step(*calls.on_caller_disconnected(state, event))
        case ev.HedgeDue():
            return Step(*calls.on_hedge_due(state, event))
        case ev.ClaimResolved():
            # The claim is on a call's idempotency key, in the store.
            return Step(*calls.on_claim_resolved(state, event))
        case ev.TargetAnnounced():
            return Step(*target_states.on_target_announced(state, event))
        case ev.TargetDrained():
            return Step(*target_states.on_target_drained(state, event))
        case ev.TargetWithdrawn():
            return Step(*target_states.on_target_withdrawn(state, event))
        case ev.MembersReceived():
            return Step(*membership.on_members_received(state, event))
        case ev.MessageReceived():
            # Every message from another node also carries its rules version.
            state, effects = membership.on_message(state, event)
            state, rules_effects = rules_version.on_message(state, event)
            return Step(state, effects + rules_effects)
        case ev.RulesVersionReceived():
            return Step(*rules_version.on_rules_version_received(state, event))
        case ev.RulesLoaded():
            return Step(*rules_version.on_rules_loaded(state, event))
        case ev.Tick():
            state, rules_effects = rules_version.on_tick(state, event)
            state, membership_effects = membership.on_tick(state, event)
            state, probe_effects = probing.on_tick(state, event)
            return Step(state, rules_effects + membership_effects + probe_effects)
        case ev.ProbeEnded():
            return Step(*probing.on_probe_ended(state, event))
        case ev.StopRequested():
            state, effects = membership.on_stop(state, event)
            return Step(replace(state, stopping=True), effects)
    raise TypeError(f"unknown event {type(event).__name__}")
