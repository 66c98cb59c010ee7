"""The node promises that an order has not run, though an instance ran it."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lib import kit

ROUTES = [
    ("/lohu930/", "safe", "800ms", "300ms"),
    ("/pufi791/", "unsafe", "1000ms", "300ms"),
]
ORDERS = 20


async def play(system, record):
    """Play the case; return how the rule was broken, or None."""
    await system.start(2, ROUTES)

    async def answer(run, body):
        await asyncio.sleep(0.05)
        if kit.TROUBLE and run.request_id.startswith("order"):
            # It ran the order, then failed: it does not say `X-Not-Executed`, and
            # has no stamp.
            more = {"X-Response-Stamp": None}
            return "HTTP/1.1 503 Service Unavailable", more, b"failed after the order"
        return "HTTP/1.1 200 OK", {}, b"done"

    for instance in system.instances:
        instance.answer = answer
    broken = []
    client = kit.Client(system.nodes[0])
    for number in range(ORDERS):
        request_id = f"order-{number}"
        got = await client.send(
            "POST",
            "/pufi791/2f",
            b"x" * 300,
            X_Request_Id=request_id,
            X_Deadline_Ms=1000,
        )
        runs = sum(
            run.request_id == request_id for i in system.instances for run in i.runs
        )
        record(f"client: {request_id} answered {got.status}, run {runs} times")
        if got.status in (408, 421, 429, 503) and runs:
            broken.append((request_id, got.status))
    if broken:
        return f"REFUSED: {len(broken)} of {ORDERS} orders ran and were answered 503"
    return None


kit.main(__file__, play)
