"""Load generator of the soak, and the checker of its requests and responses."""

import asyncio
import itertools
from dataclasses import dataclass, field

__all__ = ["Callers", "ResultChecker", "look_up", "serve"]

HOST = "a.example"
# A caller abandons a call after this time, seconds.
DEADLINE_S = 1.0
# Mean time from the end of a call to the next call of the same caller, seconds.
MEAN_PAUSE_S = 0.02


async def serve(target, request, writer):
    """Respond as a target with the id of the request and the length of its body."""
    await asyncio.sleep(0.01)
    target.write_response(
        request, writer, f"{request.request_id} {len(request.body)}".encode()
    )


async def look_up(node, path):
    """Send one lookup to a node; return its status, or None without a response."""
    try:
        async with asyncio.timeout(DEADLINE_S + 0.3):
            reader, writer = await asyncio.open_connection(*node.cfg.callers_addr)
            head = f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: probe\r\n"
            writer.write(f"{head}Connection: close\r\n\r\n".encode())
            response = await reader.read()
            writer.close()
            return int(response.split(b" ")[1])
    except (OSError, TimeoutError, IndexError, ValueError):
        return None


@dataclass(slots=True)
class ResultChecker:
    """Compares what callers sent and received with what the targets ran.

    Attributes
    ----------
    sent : dict
        Tuple (path, body) of each request, by request id.
    not_run : set
        Ids of the requests whose response status says that they did not run.
    statuses : dict
        Number of responses by status.
    violations : list of str
        Descriptions of the violations found.
    """

    sent: dict = field(default_factory=dict)
    not_run: set = field(default_factory=set)
    statuses: dict = field(default_factory=dict)
    violations: list = field(default_factory=list)

    def record_response(self, request_id, status, body):
        """Count a response; check that it is complete and for this request."""
        self.statuses[status] = self.statuses.get(status, 0) + 1
        path, sent_body = self.sent[request_id]
        if status == 200 and body != f"{request_id} {len(sent_body)}".encode():
            self.violations.append(f"{request_id}: wrong response body {body[:40]!r}")
        if status in (408, 421, 429, 503):
            self.not_run.add(request_id)
        if status == 404:
            self.violations.append(f"{request_id}: 404 for {path}, which has a route")

    def check_runs(self, targets):
        """Compare the requests that ran at `targets` with those sent and rejected.

        A request must run with the path and body that were sent. A sale must run at
        most once, and not at all if its response status says that it did not run.
        """
        runs = {}
        for target in targets:
            for request in target.received:
                runs.setdefault(request.request_id, []).append(request)
        for request_id, requests in runs.items():
            if request_id not in self.sent:
                self.violations.append(f"{request_id}: ran, but no caller sent it")
                continue
            path, sent_body = self.sent[request_id]
            if any((req.path, req.body) != (path, sent_body) for req in requests):
                self.violations.append(f"{request_id}: ran with another path or body")
            if path.startswith("/sale") and len(requests) > 1:
                self.violations.append(f"{request_id}: ran {len(requests)} times")
            if path.startswith("/sale") and request_id in self.not_run:
                self.violations.append(
                    f"{request_id}: ran, but its caller was told that it did not"
                )

    def check_drains(self, drained, limit_s):
        """Check that targets got no request later than `limit_s` after their drain.

        Parameters
        ----------
        drained : list of tuple
            Target, and the monotonic time at which its drain was acknowledged, seconds.
        limit_s : float
            Time after the acknowledgement within which requests are still permitted,
            seconds.
        """
        for target, acked_at in drained:
            late = [req for req in target.received if req.at > acked_at + limit_s]
            if late:
                self.violations.append(
                    f"{late[0].request_id}: reached {target.name} "
                    f"{late[0].at - acked_at:.2f} s after its drain"
                )


class Callers:
    """Callers that send lookups and sales to nodes over persistent connections.

    Parameters
    ----------
    checker : ResultChecker
        Gets all requests and responses.
    rng : random.Random
    """

    def __init__(self, checker, rng):
        self.checker = checker
        self._rng = rng
        self._numbers = itertools.count(1)

    async def run(self, node, ends_at):
        """Send calls to a node one after the other until the loop time `ends_at`."""
        loop = asyncio.get_running_loop()
        conn = None
        while loop.time() < ends_at:
            await asyncio.sleep(MEAN_PAUSE_S * self._rng.uniform(0.5, 1.5))
            try:
                async with asyncio.timeout(DEADLINE_S + 0.3):
                    if conn is None:
                        conn = await asyncio.open_connection(*node.cfg.callers_addr)
                    reusable = await self._call(*conn)
            except (OSError, EOFError, TimeoutError, ValueError):
                # Without a response, nothing can be checked: the call may or may not
                # have run.
                reusable = False
            if not reusable and conn is not None:
                conn[1].transport.abort()
                conn = None
        if conn is not None:
            conn[1].close()

    async def _call(self, reader, writer):
        """Send one call; return whether its connection can be used again."""
        request_id = f"q{next(self._numbers)}"
        is_sale = self._rng.random() < 0.4
        path = f"/{'sale' if is_sale else 'look'}/{request_id}"
        body = bytes(self._rng.randrange(1, 3000)) if is_sale else b""
        self.checker.sent[request_id] = (path, body)
        head = f"{'POST' if is_sale else 'GET'} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        head += (
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n"
        )
        head += f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        response_head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").lower()
        status = int(response_head.split(" ")[1])
        length = int(
            response_head.partition("content-length: ")[2].split("\r\n")[0] or 0
        )
        self.checker.record_response(
            request_id, status, await reader.readexactly(length)
        )
        return "connection: close" not in response_head
