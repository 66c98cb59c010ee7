"""Helpers for tests of the reducer, which applies events to the state of a node."""

import hashlib

from pimentoline import events as ev
from pimentoline.draws import mix
from pimentoline.effects import StartAttempt
from pimentoline.events import AttemptOutcome
from pimentoline.fast_replace import replace
from pimentoline.model import (
    Call,
    Identity,
    Member,
    MemberStatus,
    Request,
    State,
    Target,
    TargetStats,
)
from pimentoline.reducer import reduce
from pimentoline.rules import parse
from pimentoline.verdict import Verdict

ADDR = ("127.0.0.1", 1)
# Region and data centre of the node under test.
HOME = ("rift", "kerio")
SERVICE = "hive-ledger"


class Core:
    """Applies events to the state of one node, without a real clock or sockets.

    `rules` are lines of a rules file, separated by "; "; the comment that each line
    must have is added. `draw`, the random number of an event, is derived from the
    number of calls and from a constant that differs between the kinds of events.
    """

    def __init__(self, policy="hot-cold", rules=""):
        identity = Identity("n0", "n0", *HOME, ADDR, ADDR, 1)
        self.state = State(identity, policy=policy)
        self.events = []
        self.now = 100.0
        self.calls = 0
        # Sequence number of the last member record.
        self.seq = 0
        if rules:
            text = "".join(f"{rule} # test\n" for rule in rules.split("; "))
            self.send(ev.RulesLoaded(self.now, 1, text, parse(text).ruleset, "test"))

    def send(self, event):
        """Apply an event and return its effects."""
        self.events.append(event)
        step = reduce(self.state, event)
        self.state = step.state
        return step.effects

    def add_target(self, name, location=HOME, status=MemberStatus.ALIVE, **fields):
        """Add a target, or change its fields if it exists.

        Each target has a node of its own at the same location.
        """
        self.seq += 1
        target = Target(name, SERVICE, ADDR, *location, **fields)
        node_id = f"node-of-{name}"
        record = Member(
            node_id, node_id, ADDR, *location, 1, self.seq, status, (target,)
        )
        self.send(ev.MembersReceived(self.now, (record,)))

    def start_call(self, method="GET", **fields):
        """Start a call with `fields` of `Request`; return its id and the effects."""
        self.calls += 1
        req = Request(SERVICE, method, "/", self.now + 10.0, **fields)
        call = Call(self.calls, req, self.now)
        draw = mix(self.calls, 1)
        return self.calls, self.send(ev.CallArrived(self.now, draw, call))

    def receive_head(self, effect, status=200, not_run=False, load=None):
        """Receive the response head of an attempt; return the effects.

        `effect` is the `StartAttempt` effect of the attempt. `not_run` is True if the
        target declares that it did not run the request. `load` is the number of
        requests in flight that the target reports, or None.
        """
        draw = mix(self.calls, 2)
        call_id, attempt_id = effect.call_id, effect.attempt_id
        event = ev.ResponseHeadReceived(
            self.now, draw, call_id, attempt_id, status, not_run, load
        )
        return self.send(event)

    def fail_attempt(self, effect, outcome, verdict):
        """End an attempt without a response; return the effects.

        `effect` is the `StartAttempt` effect of the attempt, whose request can be sent
        again.
        """
        draw = mix(self.calls, 3)
        call_id, attempt_id = effect.call_id, effect.attempt_id
        return self.send(
            ev.AttemptEnded(self.now, draw, call_id, attempt_id, outcome, verdict, True)
        )

    def end_call(self, call_id):
        """End a call whose response was forwarded completely."""
        self.send(ev.CallEnded(self.now, call_id, True))

    def make_call(self, latency_s=0.01, status=200, load=None, **fields):
        """Make a call from start to end; return the target's id or the error code.

        The id is that of the first attempt's target. `status` and `load` are those
        of its response. If there is a retry, its response has status 200.
        """
        call_id, effects = self.start_call(**fields)
        sent = started_attempt(effects)
        if sent is None:
            return effects[0].code
        self.now += latency_s
        retry = started_attempt(self.receive_head(sent, status, load=load))
        if retry is not None:
            self.receive_head(retry, 200)
        self.end_call(call_id)
        return sent.target_id

    def set_stats(self, name, **fields):
        """Replace the statistics of a target; other fields get their defaults."""
        targets = self.state.traffic.targets.set(name, TargetStats(**fields))
        self.set_traffic(targets=targets)

    def set_traffic(self, **fields):
        """Set fields of the traffic state."""
        self.state = replace(self.state, traffic=replace(self.state.traffic, **fields))

    def stats(self, name):
        """Return the statistics of a target."""
        return self.state.traffic.targets.get(name) or TargetStats()


def run_scenario(policy, calls=400):
    """Run calls with different outcomes; return the core and a list of effect lists.

    Effects of added targets and of ended calls are left out. Calls for which no
    response is received are not ended.
    """
    # Calls spill to other data centres above 0.3 requests in flight per slot of the
    # targets, until the load is at most 0.2. Version 2 receives 10% of the calls.
    core = Core(policy, "spill * enter=0.3 leave=0.2; canary hive-ledger 2 10%")
    locations = [HOME, ("rift", "baringo"), ("coast", "kwale")]
    effect_log = []
    for number in range(calls):
        if number % 40 == 0:
            name = f"t{number % 11}"
            core.add_target(
                name, locations[number % 3], version="2" if number % 80 else "1"
            )
        call_id, effects = core.start_call()
        sent = started_attempt(effects)
        core.now += 0.003
        effect_log.append(effects)
        outcome_number = mix(number, 9) % 16
        if sent is not None and outcome_number == 0:
            effect_log.append(
                core.fail_attempt(sent, AttemptOutcome.REFUSED, Verdict.NOT_RUN)
            )
        elif sent is not None and outcome_number == 1:
            # The last argument says that the request can be sent again.
            effect_log.append(core.send(ev.HedgeDue(core.now, number, call_id, True)))
        elif sent is not None:
            status = 503 if outcome_number < 5 else 200
            load = float(outcome_number)
            effect_log.append(
                core.receive_head(sent, status, outcome_number == 2, load)
            )
            core.end_call(call_id)
    return core, effect_log


def digest(core, effect_log):
    """Return a digest of effects and statistics, independent of Python's hash seed."""
    traffic = core.state.traffic
    parts = [
        effect_log,
        sorted(traffic.targets.items()),
        sorted(traffic.services.items()),
    ]
    return hashlib.sha256(repr(parts).encode()).hexdigest()


def started_attempt(effects):
    """Return the first `StartAttempt` among effects, or None."""
    return next((item for item in effects if isinstance(item, StartAttempt)), None)
