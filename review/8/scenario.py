"""A lost answer of the store keeps a node whose peers were lost at an old version."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from standins import (  # noqa: E402
    Instance,
    Node,
    Store,
    call,
    configuration,
    play,
    until,
)

MACHINES = 14
# Bounds of the pages, seconds.
CONFIG_S = 2.0
STABLE_S = 3.0
# Changes of the configuration, and those whose answer to the waiting reader is lost.
CHANGES = 6
LOST_ANSWERS = (2, 4)
PAUSE_S = 12.0


async def scenario(record, tmp, nodes, trouble):
    """Return whether the rule held."""
    # TROUBLE=answers: the answers are lost, but no machine. Not part of the case.
    lose_machines = trouble and os.environ.get("TROUBLE") != "answers"
    store = Store(record)
    await store.start()
    store.put("op", "config", configuration(7))
    reports = []
    for number in range(MACHINES):
        instance = Instance(f"i-{number}", record)
        await instance.start()
        node = Node(tmp, f"sidecar-hobart-a-{number:02}", store, instance)
        nodes.append(node)
        node.start()
        reports.append(asyncio.ensure_future(instance.keep_reporting()))

    async def all_ready():
        return all([await node.is_ready() for node in nodes])

    await until(all_ready, 30, "the nodes did not get ready")
    await asyncio.sleep(STABLE_S)
    live = nodes[-1]
    if lose_machines:
        for node, report in zip(nodes[:-1], reports, strict=False):
            report.cancel()
            node.kill()
        record.note(f"{MACHINES - 1} machines are lost for good; {live.name} is left")
    await asyncio.sleep(STABLE_S + 2.0)
    lost_at = None
    pending = False

    def lose(path, query, data):
        nonlocal lost_at, pending
        found = path == "/v1/rows-feed" and "table=op&" in query
        if pending and found and b'"rows": []' not in data:
            lost_at = time.monotonic()
            pending = False
            return True
        return False

    store.lose = lose
    judged = broken = 0
    for number in range(CHANGES):
        pending = trouble and number in LOST_ANSWERS
        lost_at = None
        name = f"new{number}"
        store.put("op", "config", configuration(10 + 3 * number, [name]))
        acked_at = time.monotonic()
        record.note(
            f"version {10 + 3 * number} with the route /{name}/ is acknowledged"
        )
        attempt = late = 0
        while time.monotonic() - acked_at < PAUSE_S:
            sent_at = time.monotonic()
            calm = lost_at is None or sent_at - lost_at > STABLE_S
            request_id = f"c{number}-{attempt}"
            attempt += 1
            outcome = await call(live, record, request_id, f"/{name}/2f")
            if sent_at - acked_at > CONFIG_S and calm:
                judged += 1
                if outcome == 404:
                    broken += 1
                    late = sent_at - acked_at
            await asyncio.sleep(0.1)
        if late:
            record.note(
                f"{live.name}: 404 for /{name}/ until {late:.1f} s after the "
                f"acknowledgement; the store was calm for over {STABLE_S} s by then"
            )
    record.note(f"{broken} of {judged} judged requests were answered with 404")
    if trouble and lost_at is None and not broken and pending:
        raise RuntimeError("could not run: no answer was lost")
    for task in reports:
        task.cancel()
    return broken == 0


play(FOLDER, scenario)
