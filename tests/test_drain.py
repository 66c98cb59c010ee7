"""Test that the reducer keeps a target draining."""

from pimentoline import events as ev
from pimentoline.model import Identity, State, Target, TargetState
from pimentoline.reducer import reduce

ADDR = ("127.0.0.1", 1)
IDENTITY = Identity("n1", "n1", "rift", "kerio", ADDR, ADDR, 1)
TARGET = Target("t1", "hive-ledger", ADDR, "rift", "kerio")


def test_renewal_does_not_end_a_drain():
    """Guards against a drain that ends when the target renews its announcement."""
    state = State(IDENTITY)
    for event in (
        ev.TargetAnnounced(1.0, TARGET),
        ev.TargetDrained(2.0, "t1"),
        ev.TargetAnnounced(3.0, TARGET),
    ):
        state = reduce(state, event).state
    (target,) = state.mesh.by_service["hive-ledger"]
    assert target.state is TargetState.DRAINING
