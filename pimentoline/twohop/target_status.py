"""pimentoline.twohop.target_status: which status report of a target holds."""

import enum
from dataclasses import dataclass, replace

__all__ = ["Heartbeat", "StatusTracker", "TargetState", "TargetStatus"]


class TargetState(enum.Enum):
    """What a target says of itself, or `LEFT` once it has signed off."""

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"


# A target only moves onward through these.
ORDER = (TargetState.READY, TargetState.DRAINING, TargetState.LEFT)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One status report.

    Attributes
    ----------
    born_ms : int
        Start of the target's lifetime, Unix milliseconds.
    sequence : int
        Grows with each report of a lifetime.
    cold_s : float
        How much longer the target stays slow after its start, seconds.
    """

    target_id: str
    addr: tuple[str, int]
    service: str
    born_ms: int
    sequence: int
    state: TargetState
    slots: int
    cold_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """The lifetime that is believed, with its newest report."""

    target_id: str
    born_ms: int
    sequence: int
    state: TargetState


class StatusTracker:
    """Orders the reports of successive targets on one host.

    A report counts if its lifetime is newer than the one held, or if it is a newer
    report of that lifetime. A target that drains or has left never becomes ready
    again in the same lifetime, so late reports cannot bring it back.
    """

    def __init__(self, current=None):
        self.current = current

    def accept(self, report):
        """Return whether a report changes what is known, and keep it if so."""
        current = self.current
        if current is not None:
            if report.born_ms < current.born_ms:
                return False
            if (
                report.born_ms == current.born_ms
                and report.target_id == current.target_id
            ):
                if current.state is TargetState.LEFT:
                    return False
                if report.sequence <= current.sequence:
                    return False
                if (
                    current.state is TargetState.DRAINING
                    and report.state is TargetState.READY
                ):
                    return False
        self.current = TargetStatus(
            report.target_id, report.born_ms, report.sequence, report.state
        )
        return True

    def merge(self, stored):
        """Take what an earlier process knew; return whether that changes anything.

        Reports that arrived before it was read may be older than what was stored.
        """
        current = self.current
        if current is None or stored.born_ms > current.born_ms:
            self.current = stored
            return True
        same = (stored.target_id, stored.born_ms) == (
            current.target_id,
            current.born_ms,
        )
        if not same or ORDER.index(stored.state) <= ORDER.index(current.state):
            return False
        self.current = replace(current, state=stored.state)
        return True

    def answered_as(self, target_id):
        """Take the id of a sound target that answers in place of the stored one.

        Returns
        -------
        bool
            Whether another target than the one held has started there.
        """
        current = self.current
        if current is None or current.target_id == target_id:
            return False
        # Its own report says when it started; those of the one before are too old.
        self.current = TargetStatus(
            target_id, current.born_ms + 1, 0, TargetState.READY
        )
        return True

    def leave(self, target_id, born_ms):
        """Note that a target has signed off; return whether that changes anything.

        One that started after the one held has taken its place, even if none of its
        reports arrived. `born_ms` is None if the target did not say it.
        """
        current = self.current
        if current is not None:
            if born_ms is None and current.target_id != target_id:
                return False
            if born_ms is not None and born_ms < current.born_ms:
                return False
            if born_ms == current.born_ms and current.target_id != target_id:
                return False
        born = born_ms if born_ms is not None else (current.born_ms if current else 0)
        sequence = current.sequence if current is not None else 0
        self.current = TargetStatus(target_id, born, sequence, TargetState.LEFT)
        return True
