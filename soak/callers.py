"""Callers of the soak, and the promises that their answers are checked against."""

import asyncio
import itertools
from dataclasses import dataclass, field

__all__ = ["Callers", "Promises", "serve"]

HOST = "a.example"
# A call is given up by its caller after this, seconds.
DEADLINE_S = 1.0
PAUSE_S = 0.02


async def serve(instance, seen, writer):
    """Answer a request with its own id and the bytes that came."""
    await asyncio.sleep(0.01)
    instance.write(seen, writer, f"{seen.request_id} {len(seen.body)}".encode())


@dataclass(slots=True)
class Promises:
    """What was told to callers, by id, and what was broken."""

    sent: dict = field(default_factory=dict)
    not_run: set = field(default_factory=set)
    statuses: dict = field(default_factory=dict)
    broken: list = field(default_factory=list)

    def answered(self, request_id, status, body):
        """Take an answer and check that it is whole and the caller's own."""
        self.statuses[status] = self.statuses.get(status, 0) + 1
        path, sent = self.sent[request_id]
        if status == 200 and body != f"{request_id} {len(sent)}".encode():
            self.broken.append(f"{request_id}: got the answer {body[:40]!r}")
        if status in (408, 421, 429, 503):
            self.not_run.add(request_id)
        if status == 404:
            self.broken.append(f"{request_id}: 404 for {path}, which is routed")

    def check_runs(self, instances):
        """Check what ran against what was sent and told."""
        runs = {}
        for instance in instances:
            for seen in instance.received:
                runs.setdefault(seen.request_id, []).append(seen)
        for request_id, found in runs.items():
            if request_id not in self.sent:
                self.broken.append(f"{request_id}: ran, but nobody sent it")
                continue
            path, sent = self.sent[request_id]
            if any((seen.path, seen.body) != (path, sent) for seen in found):
                self.broken.append(f"{request_id}: ran with another path or body")
            if path.startswith("/sale") and len(found) > 1:
                self.broken.append(f"{request_id}: ran {len(found)} times")
            if path.startswith("/sale") and request_id in self.not_run:
                self.broken.append(
                    f"{request_id}: ran, but its caller heard it did not"
                )

    def check_drains(self, drained, bound_s):
        """Check that nothing came to an instance after its drain was acknowledged."""
        for instance, acked_at in drained:
            late = [s for s in instance.received if s.at > acked_at + bound_s]
            if late:
                self.broken.append(
                    f"{late[0].request_id}: reached {instance.name} "
                    f"{late[0].at - acked_at:.2f} s after its drain"
                )


class Callers:
    """Callers that send lookups and sales to nodes in turn, on kept connections.

    Parameters
    ----------
    promises : Promises
    rng : random.Random
    """

    def __init__(self, promises, rng):
        self.promises = promises
        self._rng = rng
        self._numbers = itertools.count(1)

    async def run(self, host, ends_at):
        """Call a node until a time of the loop."""
        loop = asyncio.get_running_loop()
        conn = None
        while loop.time() < ends_at:
            await asyncio.sleep(PAUSE_S * self._rng.uniform(0.5, 1.5))
            try:
                async with asyncio.timeout(DEADLINE_S + 0.3):
                    if conn is None:
                        conn = await asyncio.open_connection(*host.cfg.callers_addr)
                    keep = await self._call(*conn)
            except (OSError, EOFError, TimeoutError, ValueError):
                # A call without an answer promises nothing.
                keep = False
            if not keep and conn is not None:
                conn[1].transport.abort()
                conn = None
        if conn is not None:
            conn[1].close()

    async def _call(self, reader, writer):
        request_id = f"q{next(self._numbers)}"
        sale = self._rng.random() < 0.4
        path = f"/{'sale' if sale else 'look'}/{request_id}"
        body = bytes(self._rng.randrange(1, 3000)) if sale else b""
        self.promises.sent[request_id] = (path, body)
        head = f"{'POST' if sale else 'GET'} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        head += (
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n"
        )
        head += f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").lower()
        status = int(answer.split(" ")[1])
        length = int(answer.partition("content-length: ")[2].split("\r\n")[0] or 0)
        self.promises.answered(request_id, status, await reader.readexactly(length))
        return "connection: close" not in answer
