"""A restarted node sends calls to an instance whose leaving it acknowledged."""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lib import kit

ROUTES = [("/lohu930/", "safe", "800ms", "300ms")]
OUTAGE_S = 5.0
# How long the instance that leaves goes on serving after the acknowledgement.
STAYS_S = 14.0
# Clients of a machine; together they need more than one instance.
CLIENTS = 3


async def load(client_node, name, record, until):
    """Send safe requests on a kept connection, one after the other."""
    client = kit.Client(client_node)
    for number in itertools.count(1):
        if time.monotonic() > until:
            break
        request_id = f"{name}-{number}"
        try:
            answer = await client.send(
                "GET", "/lohu930/2f", X_Request_Id=request_id, X_Deadline_Ms=800
            )
            record(f"client {name}: {request_id} answered {answer.status}")
        except OSError:
            client.close()
        await asyncio.sleep(0.02)
    client.close()


async def play(system, record):
    """Play the case; return how the rule was broken, or None."""
    await system.start(2, ROUTES, slots=4, work_s=0.09)
    node, (leaving, _) = system.nodes[0], system.instances
    began_at = time.monotonic()
    if kit.TROUBLE:
        system.store.set_down(True)
    await asyncio.sleep(0.5)
    # This instance never reports `draining`: it says first that it leaves, goes on
    # serving, and exits. Its health check answers 503 from now on.
    leaving.stop_beating()
    leaving.leaving = True
    if not await leaving.tell(node, "left"):
        raise kit.CannotRunError("the leaving was not acknowledged")
    acked_at = time.monotonic()
    record(f"{leaving.name}: leaving is acknowledged")
    # Planned work: the node is stopped and started again on its own.
    node.signal(signal.SIGTERM)
    await node.ended()
    await asyncio.sleep(kit.RESTART_DELAY_S)
    node.start()
    await asyncio.sleep(max(0.0, began_at + OUTAGE_S - time.monotonic()))
    if kit.TROUBLE:
        system.store.set_down(False)
    back_at = time.monotonic()
    await node.until_ready()
    # Both machines and the store are calm from here on.
    in_touch_at = max(back_at, node.started_at) + kit.STABLE_S
    ends_at = acked_at + STAYS_S
    clients = [
        load(node, f"{node.name}-{number}", record, ends_at)
        for node in system.nodes
        for number in range(CLIENTS)
    ]
    await asyncio.gather(*clients)
    # A request was sent half a second before it arrived at the most.
    late = [
        run
        for run in leaving.runs
        if run.at > acked_at + kit.DRAIN_S and run.at > in_touch_at + 0.5
    ]
    served = sum(run.at > in_touch_at for run in system.instances[1].runs)
    record(f"{len(late)} requests reached {leaving.name} late, {served} the other one")
    if not served:
        raise kit.CannotRunError("nothing was served at the end")
    if late:
        return (
            f"DRAIN: {len(late)} requests reached {leaving.name} "
            f"{late[0].at - acked_at:.1f} to {late[-1].at - acked_at:.1f} s after the "
            "acknowledgement, sent on by machines in touch"
        )
    return None


kit.main(__file__, play)
