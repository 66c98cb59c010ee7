"""pimentoline.twohop.status_replicas: statuses of targets that peers hold in memory.

A node acknowledges to its target that the target drains or has left only once this is
known outside of the node's process. While the store cannot be reached, peers hold the
status. A peer passes it on each time that it is connected to the node, so that the next
process of the node knows it before the peer sends it a call.
"""

import asyncio
import itertools

from ..logs import log_entry
from . import frames as fr
from .member_rows import encode_status, parse_status
from .target_status import STATE_ORDER, TargetState

__all__ = ["MAX_HOLDERS", "StatusReplicas", "choose_holders"]

# Number of peers that are asked to hold a status, and number of them that must confirm
# it, or fewer if there are not that many peers.
MAX_HOLDERS = 12
MIN_HOLDERS = 2
# Time after which the confirmations are counted, seconds. One peer is enough then.
HOLD_TIMEOUT_S = 0.5


def choose_holders(members, count):
    """Return up to `count` members, from as many data centres as possible."""
    members_by_dc = {}
    for member in sorted(members, key=lambda member: member.node):
        members_by_dc.setdefault(member.dc, []).append(member)
    rounds = itertools.zip_longest(*members_by_dc.values())
    found = [member for members in rounds for member in members if member is not None]
    return found[:count]


class StatusReplicas:
    """Holds the statuses of peers' targets, and asks peers to hold that of the own one.

    Parameters
    ----------
    own_name : str
        Name of this node.
    target : TargetSide
    links : callable
        Returns a dict of the connected members and their links.
    """

    def __init__(self, own_name, target, links):
        self._own_name = own_name
        self._target = target
        self._links = links
        # Status of the target of each node; only those that drain or have left.
        self._held = {}
        # The own status that peers were asked to hold last, or None.
        self._offered = None
        self._numbers = itertools.count(1)
        # Future that ends with the confirmation, by number of the `StatusFrame`.
        self._confirmations = {}

    def note_row(self, node, status):
        """Process the status in the row of another node.

        The row may be older than the status that the node has sent to this one.
        """
        held = self._held.get(node)
        if held is not None and status.born_ms < held.born_ms:
            return
        self._note(node, status)

    def _note(self, node, status):
        held = self._held.get(node)
        if (
            held is not None
            and held.incarnation == status.incarnation
            and STATE_ORDER.index(status.state) <= STATE_ORDER.index(held.state)
        ):
            return
        if status.state is TargetState.READY:
            self._held.pop(node, None)
        else:
            self._held[node] = status

    def forget(self, node):
        """Drop the status of a node that has been removed."""
        self._held.pop(node, None)

    def send_held(self, link, node):
        """Send the status that is held for a node, if any, on the link to it."""
        status = self._held.get(node)
        if status is not None:
            link.send(fr.StatusFrame(node, 0), encode_status(status))

    def send_offered(self, link):
        """Ask a peer that has connected just now to hold the own status, if needed."""
        if self._offered is not None and self._offered == self._own_status():
            link.send(fr.StatusFrame(self._own_name, 0), encode_status(self._offered))

    def _own_status(self):
        status = self._target.status_tracker.current
        return None if status is None else status.without_sequence()

    async def replicate(self, status):
        """Ask peers to hold the own status; return whether enough of them do."""
        self._offered = status
        links = self._links()
        body = encode_status(status)
        loop = asyncio.get_running_loop()
        confirmations = {}
        for member in choose_holders(links, MAX_HOLDERS):
            number = next(self._numbers)
            confirmations[number] = loop.create_future()
            links[member].send(fr.StatusFrame(self._own_name, number), body)
        self._confirmations |= confirmations
        needed = min(MIN_HOLDERS, len(confirmations))
        try:
            async with asyncio.timeout(HOLD_TIMEOUT_S):
                arrivals = asyncio.as_completed(confirmations.values())
                for arrival in itertools.islice(arrivals, needed):
                    await arrival
        except TimeoutError:
            # Counted below.
            pass
        finally:
            for number in confirmations:
                del self._confirmations[number]
        held_by = sum(future.done() for future in confirmations.values())
        log_entry(
            "target:replicated",
            target=status.target_id,
            state=status.state.value,
            asked=len(confirmations),
            held_by=held_by,
        )
        return held_by > 0

    def handle_frame(self, link, frame, body):
        """Process a `StatusFrame` or a `StatusHeldFrame`."""
        if isinstance(frame, fr.StatusHeldFrame):
            confirmation = self._confirmations.get(frame.number)
            if confirmation is not None and not confirmation.done():
                confirmation.set_result(None)
            return
        try:
            status = parse_status(body)
        except ValueError as exc:
            link.close(f"malformed status: {exc}")
            return
        if frame.node == self._own_name:
            self._target.restore_from_peer(status)
        elif frame.node == link.peer:
            self._note(frame.node, status)
            link.send(fr.StatusHeldFrame(frame.number))
        else:
            link.close("status of a third node")
