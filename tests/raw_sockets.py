"""Raw sockets for tests: callers that control each byte, targets that misbehave."""

import socket
import threading
from contextlib import contextmanager

TIMEOUT_S = 10.0


def connect(process):
    """Return a socket connected to the data port of a node."""
    return socket.create_connection(tuple(process.info["data"]), TIMEOUT_S)


def read_head(sock):
    """Return (head lines, bytes received after the head) of an HTTP message.

    The first line is empty if the connection ended before the message.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65536)
        if not piece:
            return data.split(b"\r\n"), b""
        data += piece
    head, _, rest = data.partition(b"\r\n\r\n")
    return head.split(b"\r\n"), rest


def read_all(sock):
    """Return (bytes up to the end of the connection, whether it was reset)."""
    data = b""
    try:
        while piece := sock.recv(65536):
            data += piece
    except ConnectionResetError:
        return data, True
    return data, False


class RawTarget:
    """Target that runs `serve(target, sock, number)` in a thread per connection.

    Attributes
    ----------
    serve : callable
        `number` counts the connections from 0. A function that is assigned later
        serves only new connections.
    addr : list
        IP address (str) and port (int).
    heads : list of list of bytes
        Lines of each request head that `read_request` has read. A `serve` function may
        append other data instead, for example bytes of a body.
    connections : int
        Number of connections accepted so far.
    """

    def __init__(self, serve):
        self.serve = serve
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.addr = list(self._listener.getsockname())
        self.heads = []
        self.connections = 0
        self._open = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.settimeout(TIMEOUT_S)
            number, self.connections = self.connections, self.connections + 1
            threading.Thread(target=self._run, args=(sock, number), daemon=True).start()

    def _run(self, sock, number):
        self._open.add(sock)
        with sock:
            try:
                self.serve(self, sock, number)
            except OSError:
                pass
        self._open.discard(sock)

    def read_request(self, sock):
        """Read and record a request head; return False at the end of the connection."""
        head, _ = read_head(sock)
        if head[0]:
            self.heads.append(head)
        return bool(head[0])

    def end_connections(self):
        """Shut down all open connections."""
        for sock in list(self._open):
            sock.shutdown(socket.SHUT_RDWR)

    def close(self):
        """Stop accepting connections."""
        try:
            # Interrupts the pending accept, which would keep the socket open.
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listener.close()


@contextmanager
def raw_target(cluster, serve, node_id="n1", target_id="t1", **announcement):
    """Announce a `RawTarget` to a node, yield it, and close it at the end.

    Its service is `hive-ledger`, the one that `cluster.call` calls by default.
    `announcement` contains further fields of the announcement.
    """
    target = RawTarget(serve)
    body = {"service": "hive-ledger", "addr": target.addr, **announcement}
    cluster.admin(node_id, f"/v1/targets/{target_id}", "PUT", body)
    try:
        yield target
    finally:
        target.close()


def serve_responses(*responses):
    """Return a `serve` that sends the responses in turn, the last one repeatedly."""

    def serve(target, sock, number):
        while target.read_request(sock):
            sock.sendall(responses[min(len(target.heads), len(responses)) - 1])

    return serve
