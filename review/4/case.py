"""A restarted node takes an old report for the state of an instance that left."""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lib import kit

ROUTES = [("/lohu930/", "safe", "800ms", "300ms")]
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
    leaving.stop_beating()
    # The last status report before the leave; with the trouble it is under way for
    # some seconds.
    late_report = leaving.report("ready")
    made_at = time.monotonic()
    if not kit.TROUBLE:
        await leaving.post(node, late_report)
    await asyncio.sleep(0.1)
    # This instance never reports `draining`: it says first that it leaves, goes on
    # serving, and exits. Its health check answers 503 from now on.
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
    await node.until_ready()
    if kit.TROUBLE:
        acked = await leaving.post(node, late_report)
        late_s = time.monotonic() - made_at
        record(f"{leaving.name}: report arrives {late_s:.1f} s late, acked {acked}")
    # Both machines and the store are calm from here on.
    in_touch_at = node.started_at + kit.STABLE_S
    ends_at = acked_at + STAYS_S
    await asyncio.gather(
        *(
            load(client_node, f"{client_node.name}-{number}", record, ends_at)
            for client_node in system.nodes
            for number in range(CLIENTS)
        )
    )
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
