"""Requests at a node during the whole grace period of a planned stop."""

import asyncio
import socket

from .test_twohop_path import Caller, cluster_test, start_pair

BODY = b"0123456789abcdef" * 1_000_000
# Size of the socket buffer of a slow reader, bytes.
RECEIVE_BUFFER_BYTES = 64 * 1024


async def connect_with_small_buffer(addr):
    """Return the streams of a connection that takes few bytes ahead of the reader."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, addr)
    return await asyncio.open_connection(sock=sock, limit=RECEIVE_BUFFER_BYTES)


@cluster_test
async def test_stopping_node_completes_an_answer_that_it_writes(cluster):
    """Guards against an answer that is cut because its connection counts as idle."""
    caller_node, _, target = await start_pair(cluster)

    async def respond(request, writer):
        target.write_response(request, writer, BODY)

    target.serve = respond
    caller = Caller(caller_node)
    caller.reader, caller.writer = await connect_with_small_buffer(
        caller_node.cfg.callers_addr
    )
    caller_node.stop()
    await asyncio.sleep(1.0)
    await caller.send("/look/1")
    head = await caller.reader.readuntil(b"\r\n\r\n")
    assert f"Content-Length: {len(BODY)}".encode() in head
    received = b""
    # Reads for 2.5 s, beyond the time at which idle connections are closed.
    while len(received) < len(BODY):
        piece = await caller.reader.read(64 * 1024)
        assert piece, f"cut after {len(received)} bytes"
        received += piece
        await asyncio.sleep(2.5 * len(piece) / len(BODY))
    assert received == BODY


@cluster_test
async def test_request_at_any_time_of_the_grace_gets_an_answer_or_does_not_run(cluster):
    """Guards against requests that are cut while they run, near the end of the grace.

    New and kept connections send sales of 10 ms and 400 ms all the time.
    """
    caller_node, _, target = await start_pair(cluster)
    outcomes = {}

    async def respond(request, writer):
        await asyncio.sleep(0.4 if "slow" in request.path else 0.01)
        target.write_response(request, writer, b"ok")

    async def send_sales(name, path, keep):
        caller = Caller(caller_node)
        for number in range(1000):
            request_id = f"{name}-{number}"
            try:
                status, headers, _ = await caller.call(
                    path, method="POST", body=b"x", request_id=request_id
                )
                outcomes[request_id] = status
                if not keep or headers.get("connection") == "close":
                    caller.close()
                    caller = Caller(caller_node)
            except ConnectionRefusedError:
                return
            except (OSError, asyncio.IncompleteReadError) as exc:
                outcomes[request_id] = repr(exc)
                caller = Caller(caller_node)
            await asyncio.sleep(0.02)

    target.serve = respond
    senders = [
        asyncio.create_task(send_sales(f"{path[6:]}{keep}", path, keep))
        for path in ("/sale/fast", "/sale/slow")
        for keep in (False, True)
    ]
    await asyncio.sleep(0.3)
    caller_node.stop()
    await asyncio.gather(*senders)
    await caller_node._stopped.wait()
    assert 200 in outcomes.values()
    ran = {request.request_id for request in target.received}
    wrong = {
        request_id: outcome
        for request_id, outcome in outcomes.items()
        if outcome != 200 and (outcome != 503 or request_id in ran)
        # A connection that is closed before its request was read.
        if request_id in ran or isinstance(outcome, int)
    }
    assert not wrong
