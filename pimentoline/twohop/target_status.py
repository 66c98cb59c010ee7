"""pimentoline.twohop.target_status: the current status of the target on this host.

Heartbeats may arrive late or out of order, even from a target that has been replaced
since. An incarnation is one run of a target process, from its start to its end.
"""

import enum
from dataclasses import dataclass, replace

__all__ = [
    "MAX_BORN_MS",
    "MAX_NAME_CHARS",
    "MAX_SLOTS",
    "STATE_ORDER",
    "Heartbeat",
    "ReportHistory",
    "StatusTracker",
    "TargetState",
    "TargetStatus",
]


# Largest number of slots that a target may report.
MAX_SLOTS = 10_000
# Largest start time of a target, Unix time in milliseconds: the year 5138. A larger
# one would make the reports of every later target look late.
MAX_BORN_MS = 10**14
# Longest id of a target.
MAX_NAME_CHARS = 200
# A heartbeat may arrive this long after it was made, seconds.
MAX_REPORT_DELAY_S = 6.0
# Number of earlier incarnations whose late reports are recognised.
MAX_ENDED = 16


class TargetState(enum.Enum):
    """State that a target reports, or `LEFT` once it has left."""

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"


# Within one incarnation the state only changes in this order.
STATE_ORDER = (TargetState.READY, TargetState.DRAINING, TargetState.LEFT)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat of a target, with its current state.

    Attributes
    ----------
    addr : tuple of (str, int)
        Host and port of the target.
    born_ms : int
        Start of the target's incarnation, Unix time in milliseconds.
    sequence : int
        Increases with each heartbeat of an incarnation.
    slots : int
        Calls that the target processes at once.
    cold_s : float
        How much longer the target is slow after its start, seconds.
    """

    target_id: str
    addr: tuple[str, int]
    service: str
    born_ms: int
    sequence: int
    state: TargetState
    slots: int
    cold_s: float = 0.0

    @property
    def incarnation(self):
        """Id and start of the target, which identify the incarnation."""
        return self.target_id, self.born_ms

    def status(self):
        """Return the `TargetStatus` that the heartbeat reports."""
        return TargetStatus(self.target_id, self.born_ms, self.sequence, self.state)


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """State of one incarnation of a target, from its newest heartbeat.

    Attributes
    ----------
    born_ms : int
        Start of the incarnation, Unix time in milliseconds.
    sequence : int
        Sequence number of the heartbeat.
    """

    target_id: str
    born_ms: int
    sequence: int
    state: TargetState

    @property
    def incarnation(self):
        """Id and start of the target, which identify the incarnation."""
        return self.target_id, self.born_ms

    def without_sequence(self):
        """Return the status as it is stored, which is only when the state changes."""
        return replace(self, sequence=0)


class ReportHistory:
    """Tells whether the heartbeats of a target can all be late.

    A heartbeat that arrives `MAX_REPORT_DELAY_S` after an event was made after it. Two
    are required, so that a single one with a longer delay proves nothing.

    Parameters
    ----------
    since : float
        Time of the event, monotonic, seconds.
    """

    def __init__(self, since):
        self._since = since
        self._incarnation = None
        self._first_sequence = 0

    def note(self, heartbeat, now):
        """Record a heartbeat; return whether it was made after the event."""
        if heartbeat.incarnation != self._incarnation:
            self._incarnation = heartbeat.incarnation
            self._first_sequence = heartbeat.sequence
        return (
            heartbeat.sequence > self._first_sequence
            and now - self._since > MAX_REPORT_DELAY_S
        )


class StatusTracker:
    """Keeps the newest status from the heartbeats of successive targets on one host.

    A heartbeat is accepted if it comes from a newer incarnation than the current
    status, or if it is a newer heartbeat of the same incarnation. A target that drains
    or has left never becomes ready again in the same incarnation, so that a late
    heartbeat cannot bring it back.

    The time of day of a host may be set back, so that a newer incarnation has an
    earlier start. If it has the same id as the current one, a report that it drains or
    has left is accepted, and `may_replace` tells whether a report that it is ready can
    be accepted, given a proof that it is not late.
    """

    def __init__(self, current=None):
        self.current = current
        # Keys are earlier incarnations, and those that drained or left while another
        # one was current. The oldest comes first.
        self._ended = {}

    def _replace(self, status):
        if self.current is not None and (
            self.current.incarnation != status.incarnation
        ):
            self._note_ended(self.current.incarnation)
        self._ended.pop(status.incarnation, None)
        self.current = status

    def _note_ended(self, incarnation):
        self._ended[incarnation] = None
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def accept(self, heartbeat):
        """Take the status from a heartbeat; return whether it was accepted."""
        current = self.current
        if current is None:
            self._replace(heartbeat.status())
            return True
        if heartbeat.incarnation == current.incarnation:
            if current.state is TargetState.LEFT:
                return False
            if heartbeat.sequence <= current.sequence:
                return False
            if (
                current.state is TargetState.DRAINING
                and heartbeat.state is TargetState.READY
            ):
                return False
        elif heartbeat.incarnation in self._ended:
            return False
        elif heartbeat.born_ms < current.born_ms:
            if heartbeat.state is TargetState.READY:
                return False
            if heartbeat.target_id != current.target_id:
                # Calls name the current target, and this one does not run them.
                self._note_ended(heartbeat.incarnation)
                return False
        self._replace(heartbeat.status())
        return True

    def may_replace(self, heartbeat, recent):
        """Return whether a heartbeat that `accept` refused may be of a newer target.

        `recent` tells whether the heartbeat is certainly not late.
        """
        current = self.current
        if (
            heartbeat.state is not TargetState.READY
            or heartbeat.incarnation == current.incarnation
        ):
            return False
        if (current.target_id, current.state) == (
            heartbeat.target_id,
            TargetState.READY,
        ):
            # A change would make no difference to calls.
            return False
        return recent or heartbeat.incarnation not in self._ended

    def replace(self, heartbeat):
        """Take the status from a heartbeat for which `may_replace` returned True."""
        self._replace(heartbeat.status())

    def merge(self, stored):
        """Merge the status that an earlier process of this node has stored.

        Heartbeats that arrived before the store was read may be older than the stored
        status. Returns whether the current status changed.
        """
        current = self.current
        if current is not None and stored.incarnation == current.incarnation:
            if STATE_ORDER.index(stored.state) <= STATE_ORDER.index(current.state):
                return False
            self.current = replace(current, state=stored.state)
            return True
        if current is not None and (
            stored.born_ms <= current.born_ms or stored.incarnation in self._ended
        ):
            if stored.state is not TargetState.READY:
                self._note_ended(stored.incarnation)
            return False
        self._replace(stored)
        return True

    def note_probed_id(self, target_id):
        """Record the id that a healthy target returned to a probe.

        Returns
        -------
        bool
            Whether this target has replaced the one of the current status.
        """
        current = self.current
        if current is None or current.target_id == target_id:
            return False
        # The start of the new incarnation is unknown until its first heartbeat. With a
        # start one millisecond after that of the previous incarnation, late heartbeats
        # of the previous one are ignored.
        self._replace(
            TargetStatus(target_id, current.born_ms + 1, 0, TargetState.READY)
        )
        return True

    def note_leaving(self, target):
        """Record that a ready target said in a response that it is leaving.

        Parameters
        ----------
        target : TargetStatus
            Earlier status of the target that responded.

        Returns
        -------
        bool
            Whether this changed the status; false if another target has replaced it.
        """
        current = self.current
        if current.state is not TargetState.READY:
            return False
        if current.incarnation != target.incarnation:
            return False
        self.current = replace(current, state=TargetState.DRAINING)
        return True

    def accept_leave(self, target_id, born_ms):
        """Record that a target has left, unless it was replaced before.

        A target that started after the current one has replaced the current one, even
        if none of its heartbeats arrived.

        Parameters
        ----------
        target_id : str
        born_ms : int or None
            Start of its incarnation, Unix time in milliseconds; None if the leave
            request does not contain it.

        Returns
        -------
        bool
            Whether the leave request was accepted.
        """
        current = self.current
        if current is None:
            self._replace(TargetStatus(target_id, born_ms or 0, 0, TargetState.LEFT))
            return True
        same_id = target_id == current.target_id
        if born_ms is None:
            if not same_id:
                return False
            born_ms = current.born_ms
        status = TargetStatus(target_id, born_ms, current.sequence, TargetState.LEFT)
        if status.incarnation in self._ended:
            return False
        if not same_id and born_ms <= current.born_ms:
            # Calls name the current target, and this one does not run them.
            self._note_ended(status.incarnation)
            return False
        self._replace(status)
        return True
