"""Property-based tests of calls over two nodes: retries, admission and drains."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.emulator import simulated_time
from pimentoline.errors import StoreConflictError, StoreUnavailableError
from pimentoline.platform.store import StoredRow
from pimentoline.twohop import lifecycle as lc
from pimentoline.twohop.admission import AdmissionController, Job
from pimentoline.twohop.model import Member, Route, RouteKind, Share
from pimentoline.twohop.noise import StartDecision
from pimentoline.twohop.store_sync import MEMBERS_TABLE, StoreSync
from pimentoline.twohop.store_versions import ABSENT, StoreVersion
from pimentoline.twohop.target_status import Heartbeat, StatusTracker, TargetState
from pimentoline.verdict import Verdict

from .test_twohop_decisions import FakeEnvironment

ADDR = ("10.0.0.1", 80)
NOW = 100.0
SAFE_ROUTE = Route(
    "r", "a.example", "/x/", RouteKind.SAFE, 1.0, 0.3, 1, (Share("ledger", 1),), 3
)
UNSAFE_ROUTE = replace(SAFE_ROUTE, kind=RouteKind.UNSAFE)
RETRIES = 4

# Retries of a call.

# Name of an event and its value: whether the target itself refused the call, the
# verdict on a failed attempt, or the status of the response. "left" means that the
# caller has disconnected.
EVENTS = st.one_of(
    st.builds(lambda by_target: ("refused", by_target), st.booleans()),
    st.builds(lambda verdict: ("broken", verdict), st.sampled_from(list(Verdict))),
    st.builds(lambda status: ("responded", status), st.sampled_from([200, 404, 500])),
    st.sampled_from([("stalled", None), ("timed-out", None), ("left", None)]),
)


def make_event(name, value, stalled):
    """Return an event of `lifecycle`, and whether the call may have run before it."""
    match name:
        case "refused":
            return lc.AttemptRefused(NOW, "queue", 0.1, value, stalled), False
        case "broken":
            may_have_run = value is not Verdict.NOT_RUN
            return lc.AttemptFailed(NOW, value, "cut", stalled), may_have_run
        case "responded":
            return lc.ResponseReceived(NOW, value, "response", stalled), True
        case "stalled":
            return lc.AttemptStalled(NOW), False
        case "timed-out":
            return lc.TimedOut(NOW), False
    return lc.CallerDisconnected(NOW), False


@settings(max_examples=1000, deadline=None)
@given(
    st.sampled_from([SAFE_ROUTE, UNSAFE_ROUTE]),
    st.lists(st.tuples(EVENTS, st.booleans()), max_size=14),
)
def test_any_events_of_a_call_give_one_outcome_within_its_attempts(route, events):
    """Guards against wrong retries and outcomes after any sequence of events.

    An unsafe call must not run twice. A call has one outcome, a 503 only if it has not
    run, and no more attempts at targets than its route allows. It ends with its last
    attempt, and its own error never replaces an attempt that is open, unless the time
    is over or the caller has left.
    """
    environment = FakeEnvironment("a", "b", "c", "d", "e", retries=RETRIES)
    call = lc.Call(route, "ledger", NOW + 0.3, NOW + 1.0)
    effects = lc.step(call, lc.CallReceived(NOW), environment)
    may_have_run, outcome_count, target_attempts = False, 0, 0
    # Attempts that are open: the current one and the stalled one.
    open_attempts = {"current"}
    for (name, value), of_stalled in events:
        of_attempt = name in ("refused", "broken", "responded")
        attempt = "stalled" if of_stalled and of_attempt else "current"
        unfinished = outcome_count == 0
        if unfinished and name not in ("timed-out", "left"):
            if attempt not in open_attempts:
                continue
        event, may_have_run_now = make_event(name, value, attempt == "stalled")
        effects = lc.step(call, event, environment)
        sends = [effect for effect in effects if isinstance(effect, lc.Send)]
        outcomes = [e for e in effects if isinstance(e, lc.Reply | lc.Reject)]
        kept = any(isinstance(effect, lc.KeepAttempt) for effect in effects)
        assert len(sends) <= 1 and len(sends) + len(outcomes) <= 1
        assert unfinished or not effects
        outcome_count += len(outcomes)
        if not unfinished:
            continue
        if of_attempt:
            open_attempts.remove(attempt)
            if attempt == "stalled":
                target_attempts -= 1
            target_attempts += may_have_run_now or (name == "refused" and value)
            may_have_run = may_have_run or may_have_run_now
        if kept:
            assert "stalled" not in open_attempts and sends
            open_attempts = {"stalled"}
            target_attempts += 1
        if sends:
            assert "current" not in open_attempts
            assert target_attempts < route.max_attempts
            open_attempts.add("current")
            assert route.retryable or not may_have_run
        for outcome in outcomes:
            if isinstance(outcome, lc.Reject):
                assert outcome.status in (None, 502, 503, 504)
                assert not open_attempts or name in ("timed-out", "left")
            if isinstance(outcome, lc.Reject) and outcome.status == 503:
                assert not may_have_run
            cancelled = any(isinstance(e, lc.CancelAttempts) for e in effects)
            assert cancelled or not open_attempts
        assert outcomes or open_attempts
    assert outcome_count <= 1
    assert call.ended == (outcome_count == 1)


# Admission.

# Name of a step, and a number from which the time before the step and the properties of
# an offered job or the reported slowdown are derived. "last-resort" offers a job with
# `last_resort`, "end" completes a running job, "drop" removes a waiting one, and
# "pause" only lets time pass.
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "last-resort", "end", "drop", "slowdown", "pause"]),
        st.integers(0, 30),
    ),
    max_size=120,
)


class AdmissionModel:
    """An `AdmissionController` and the jobs that wait, run and were refused."""

    def __init__(self):
        self.now = NOW
        self.admission = AdmissionController(4)
        self.waiting, self.running, self.refused = set(), [], set()

    def offer(self, number, last_resort):
        """Offer a job whose objective and priority are derived from `number`."""
        objective_s = 0.05 + number * 0.02
        job = Job(
            number % 3, self.now + objective_s, self.now + 2 * objective_s, last_resort
        )
        if self.admission.offer(job, self.now) is None:
            self.waiting.add(job)
        else:
            self.refused.add(job)

    def process_queue(self):
        """Start or refuse waiting jobs until all that remain have to wait."""
        while not isinstance(
            action := self.admission.next_action(self.now), StartDecision
        ):
            job, refused = action
            assert job in self.waiting
            self.waiting.remove(job)
            if refused is not None:
                self.refused.add(job)
            else:
                assert self.now <= job.deadline_at
                self.running.append(job)
        if action is StartDecision.PROBE:
            self.admission.noise.probe_started(self.now)

    def step(self, name, number):
        """Let time pass, then do one step of a schedule."""
        self.now += number * 0.005
        match name:
            case "offer" | "last-resort":
                self.offer(number, name == "last-resort")
            case "end" if self.running:
                self.admission.complete(self.running.pop(0), self.now)
            case "drop" if self.waiting:
                self.admission.remove(self.waiting.pop())
            case "slowdown":
                slowdown = 5.0 if number % 3 == 0 else 1.0
                self.admission.note_slowdown(slowdown, self.now)
        self.process_queue()


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_every_job_is_started_or_refused_and_counted_once(steps):
    """Guards against lost jobs, lost slots and jobs started after their deadline."""
    model = AdmissionModel()
    for name, number in steps:
        model.step(name, number)
        assert model.admission.running == len(model.running)
        assert len(model.running) <= model.admission.slots
        assert model.admission.queued == len(model.waiting)
    while model.running:
        model.admission.complete(model.running.pop(), model.now)
    model.now += 60.0
    model.process_queue()
    model.process_queue()
    assert not model.waiting


# Drains, with a store that loses responses and applies writes late.

# Era of the store that these tests use.
ERA = 1


class FaultyStore:
    """A store with the row of one node.

    Each write takes its fault from the end of a list: "refused" (not applied), "late"
    (applied after the call has failed), "lost" (applied, but the response is lost) or
    "none".
    """

    def __init__(self, faults):
        self.faults = faults
        self.row = None
        self.version = StoreVersion(ERA, 0)
        self.drain_stored = False
        self.changed = asyncio.Event()

    def _apply(self, key, value, expected):
        version = self.row.version if self.row is not None else ABSENT
        if version != expected:
            return False
        self.version = StoreVersion(ERA, self.version.number + 1)
        self.row = StoredRow(key, self.version, value)
        self.drain_stored = self.drain_stored or b"draining" in value
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return True

    async def read_all(self, table):
        """Return (rows of a table, version)."""
        await asyncio.sleep(0.004)
        rows = [self.row] if self.row is not None and table == MEMBERS_TABLE else []
        return rows, self.version

    async def read_changes(self, table, after, wait_s):
        """Return (rows, version) once the row changed; ([], after) after `wait_s`."""
        has_changes = self.row is not None and self.row.version.number > after.number
        if not has_changes or table != MEMBERS_TABLE:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                return [], after
        await asyncio.sleep(0.004)
        return ([self.row] if table == MEMBERS_TABLE else []), self.version

    async def write(self, table, key, value, expected):
        """Write the row if it has the expected version; return the new version.

        Raises `StoreConflictError` if the row has another version, and
        `StoreUnavailableError` if the write has a fault.
        """
        fault = self.faults.pop() if self.faults else "none"
        await asyncio.sleep(0.004)
        if fault == "refused":
            raise StoreUnavailableError("down", False)
        if fault == "late":
            loop = asyncio.get_running_loop()
            loop.call_later(2.0, self._apply, key, value, expected)
            await asyncio.sleep(1.5)
            raise StoreUnavailableError("no response")
        if not self._apply(key, value, expected):
            raise StoreConflictError("changed", self.row.version, self.row.value)
        if fault == "lost":
            raise StoreUnavailableError("no response")
        return self.version


class FakeTargetSide:
    """The part of `TargetSide` that `StoreSync` uses."""

    def __init__(self):
        self.status_tracker = StatusTracker()

    def restore(self, status):
        """Merge a stored status."""
        self.status_tracker.merge(status)


class NoReplicas:
    """Replaces `StatusReplicas`; there is no peer that could hold a status."""

    async def replicate(self, status):
        """Return False after some time."""
        await asyncio.sleep(0.5)
        return False


def make_lone_peers(member):
    """Return the part of `Peers` that `StoreSync` uses, for a node without peers."""
    return SimpleNamespace(
        members=[member],
        connected_members=[member],
        replicas=NoReplicas(),
        broadcast_load=lambda config_read: None,
    )


class NodeProcess:
    """One process of a node; a restart creates another one with the same store."""

    def __init__(self, store):
        self.target = FakeTargetSide()
        self.config = None
        member = Member("n1", ADDR, "kerio", "rift", "ledger")
        self.peers = make_lone_peers(member)
        self.store_sync = StoreSync(store, ("op", "config"), member, self)
        self.store_sync.start()

    async def handle_heartbeat(self, state, sequence, born_ms=5):
        """Process a heartbeat; return whether it is acknowledged."""
        heartbeat = Heartbeat(
            f"t{born_ms}", ADDR, "ledger", born_ms, sequence, state, 12
        )
        previous = self.target.status_tracker.current
        if self.target.status_tracker.accept(heartbeat):
            if previous is None or previous.state is not state:
                saving = self.store_sync.save_in_background()
                if state is TargetState.READY:
                    await asyncio.wait([saving], timeout=0.6)
        return await self.store_sync.keep_status()

    @property
    def state(self):
        """State of the target as known to this process, or None."""
        status = self.target.status_tracker.current
        return status.state if status is not None else None


WRITE_FAULTS = st.lists(
    st.sampled_from(["none", "lost", "late", "refused"]), max_size=6
)
ACTIONS = st.lists(st.sampled_from(["late-ready", "pause", "restart"]), max_size=5)


@settings(max_examples=150, deadline=None)
@given(WRITE_FAULTS, ACTIONS)
def test_stored_drain_is_kept_over_restarts_and_late_writes(faults, actions):
    """Guards against a restarted node that makes a draining target ready again.

    A stored or acknowledged drain must be in force within seconds of a restart, even if
    older heartbeats arrive in between. A drain that never reached the store, and was
    not acknowledged, may be lost if its process ends at once.
    """

    async def scenario():
        store = FaultyStore(list(faults))
        process = NodeProcess(store)
        await asyncio.sleep(0.1)
        await process.handle_heartbeat(TargetState.READY, 1)
        acknowledged = await process.handle_heartbeat(TargetState.DRAINING, 3)
        for step in actions:
            match step:
                case "restart":
                    process.store_sync.stop()
                    process = NodeProcess(store)
                case "late-ready":
                    await process.handle_heartbeat(TargetState.READY, 2)
                case "pause":
                    await asyncio.sleep(0.7)
        await asyncio.sleep(60.0)
        if "restart" not in actions or store.drain_stored or acknowledged:
            assert process.state is TargetState.DRAINING
        await process.handle_heartbeat(TargetState.READY, 1, born_ms=9)
        assert process.state is TargetState.READY
        process.store_sync.stop()

    simulated_time.run(scenario())


@settings(max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(["lost", "late", "refused"]), max_size=5))
def test_drain_is_stored_once_the_store_is_back(faults):
    """Guards against a drain that is acknowledged in an outage and never stored."""

    async def scenario():
        store = FaultyStore([])
        process = NodeProcess(store)
        await asyncio.sleep(0.1)
        await process.handle_heartbeat(TargetState.READY, 1)
        store.faults = list(faults)
        await process.handle_heartbeat(TargetState.DRAINING, 2)
        # Each fault takes 1.5 s at most, and the pause before the next write 1.2 s.
        await asyncio.sleep(1.0 + len(faults) * 2.7)
        assert b"draining" in store.row.value
        process.store_sync.stop()

    simulated_time.run(scenario())
