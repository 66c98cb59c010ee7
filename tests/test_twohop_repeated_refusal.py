"""Tests of targets that write an earlier refusal once more on a kept connection."""

import asyncio

import pytest

from .test_twohop_path import Caller, cluster_test, start_pair

REFUSAL = "503 Service Unavailable"


def refuse(target, request, writer, **headers):
    """Write the response of a target that has not run a request."""
    target.write_response(request, writer, b"", REFUSAL, X_Not_Executed="1", **headers)


@pytest.mark.parametrize("path", ["/sale/1", "/look/1"])
@cluster_test
async def test_repeated_refusal_of_the_same_request_is_not_believed(cluster, path):
    """Guards against "not run" for a call that runs after its node sent it again."""
    caller_node, _, target = await start_pair(cluster)
    refused = []
    run = []

    async def respond(request, writer):
        if not refused:
            refused.append(writer)
            refuse(target, request, writer)
            return
        if writer is refused[0]:
            refuse(target, request, writer)
        run.append(request)
        await asyncio.sleep(0.05)
        target.write_response(request, writer, b"done")

    target.serve = respond
    status, _, body = await Caller(caller_node).call(path, method="POST", body=b"x")
    assert len(run) == 1
    assert (status, body) == (200, b"done")


@pytest.mark.parametrize("with_stamp", [False, True])
@pytest.mark.parametrize("path", ["/sale/1", "/look/1"])
@cluster_test
async def test_refusal_without_an_id_on_a_kept_connection_is_not_believed(
    cluster, path, with_stamp
):
    """Guards against an earlier refusal without an id that is taken for a later one."""
    caller_node, _, target = await start_pair(cluster)
    run = []

    async def respond(request, writer):
        if run:
            head = f"HTTP/1.1 {REFUSAL}\r\nX-Not-Executed: 1\r\n"
            if with_stamp:
                head += "X-Response-Stamp: s\r\n"
            writer.write(head.encode() + b"Content-Length: 0\r\n\r\n")
        run.append(request.request_id)
        await asyncio.sleep(0.05)
        target.write_response(request, writer, b"done")

    target.serve = respond
    caller = Caller(caller_node)
    assert (await caller.call(path, method="POST", body=b"x"))[0] == 200
    status, headers, _ = await caller.call(
        path, method="POST", body=b"x", request_id="q2"
    )
    # Only a safe call may have run twice.
    assert run.count("q2") == 1 or path == "/look/1"
    assert status != 503
    assert "retry-after" not in headers


@cluster_test
async def test_repeated_refusal_of_an_earlier_request_is_dropped(cluster):
    """Guards against a refusal with the id of an earlier request."""
    caller_node, _, target = await start_pair(cluster)
    run = []

    async def respond(request, writer):
        if run:
            refuse(target, request, writer, X_Request_Id=run[0])
        run.append(request.request_id)
        await asyncio.sleep(0.05)
        target.write_response(request, writer, b"done")

    target.serve = respond
    caller = Caller(caller_node)
    for number in range(3):
        status, _, body = await caller.call(
            "/sale/1", method="POST", body=b"x", request_id=f"q{number}"
        )
        assert (status, body) == (200, b"done")
    assert run == ["q0", "q1", "q2"]
