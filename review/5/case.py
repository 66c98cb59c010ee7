"""A node acknowledges that an instance drains, and goes on sending calls to it."""

import asyncio
import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lib import kit

ROUTES = [("/lohu930/", "safe", "800ms", "300ms")]
# The instance goes down and up with this period.
PERIOD_S = 1.4
# How far the time of day of its machine jumps back.
STEP_MS = 2400
CALM_S = 6.0
STAYS_S = 8.0
# Clients of a machine; together they need more than one instance.
CLIENTS = 3


async def load(node, name, record, until):
    """Send safe requests on a kept connection, one after the other."""
    client = kit.Client(node)
    for number in itertools.count(1):
        if time.monotonic() > until:
            break
        request_id = f"{name}-{number}"
        try:
            answer = await client.send(
                "GET", "/lohu930/2f", X_Request_Id=request_id, X_Deadline_Ms=800
            )
            record(f"client: {request_id} answered {answer.status}")
        except OSError:
            client.close()
        await asyncio.sleep(0.02)
    client.close()


async def play(system, record):
    """Play the case; return how the rule was broken, or None."""
    await system.start(2, ROUTES, slots=4, work_s=0.09)
    node, instance = system.nodes[0], system.instances[0]
    ends_at = time.monotonic() + 2 * PERIOD_S + CALM_S + STAYS_S
    loads = [
        asyncio.ensure_future(load(n, f"{n.name}-{number}", record, ends_at))
        for n in system.nodes
        for number in range(CLIENTS)
    ]

    async def down_and_up(time_of_day_ms):
        instance.stop_beating()
        port = instance.addr[1]
        instance.close()
        await asyncio.sleep(PERIOD_S / 2)
        # It starts again under the id that it had, and its counts start anew.
        instance.started_again(time_of_day_ms())
        await instance.listen(port)
        record(f"{instance.name}: starts again, born {instance.born_ms}")
        instance.start_beating(node)
        await asyncio.sleep(PERIOD_S / 2)

    step_ms = STEP_MS if kit.TROUBLE else 0
    await down_and_up(lambda: int(time.time() * 1000))
    record(f"{node.name}: the time of day jumps by -{step_ms} ms")
    await down_and_up(lambda: int(time.time() * 1000) - step_ms)
    # Nothing happens for longer than `stable`.
    await asyncio.sleep(CALM_S)
    instance.state, instance.leaving = "draining", True
    if not await instance.tell(node, "draining"):
        raise kit.CannotRunError("draining was not acknowledged")
    acked_at = time.monotonic()
    record(f"{instance.name}: draining is acknowledged")
    await asyncio.gather(*loads)
    late = [run for run in instance.runs if run.at > acked_at + kit.DRAIN_S]
    other = [run for run in system.instances[1].runs if run.at > acked_at]
    record(f"{len(late)} requests reached {instance.name} late, {len(other)} the other")
    if not other:
        raise kit.CannotRunError("nothing was served at the end")
    if late:
        return (
            f"DRAIN: {len(late)} requests reached {instance.name} "
            f"{late[0].at - acked_at:.1f} to {late[-1].at - acked_at:.1f} s after the "
            "acknowledgement of its draining"
        )
    return None


kit.main(__file__, play)
