"""pimentoline.mesh_transport: messages between nodes over UDP and TCP."""

import asyncio
import socket
from dataclasses import replace

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from .codec import MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES
from .errors import CodecError
from .messages import Gossip

__all__ = ["MeshTransport"]

FRAME_TIMEOUT_S = 2.0
# Limits how long queued datagrams delay other work of the event loop, such as client
# calls.
MAX_DATAGRAMS_PER_WAKEUP = 64


class MeshTransport(TCPServer):
    """Sends and receives the messages of one node.

    Requests are sent over TCP, other messages as UDP datagrams. A message too large for
    a datagram is split if it has several member records, each of which describes a
    node; otherwise it is sent over TCP. Over TCP, each message is sent as a frame: a
    4-byte length and the message.

    Parameters
    ----------
    codec : Codec
    on_message : callable
        Called with each authentic `Message` and the address of its sender. For a
        message over TCP, the address is None, and a message that `on_message` returns
        is sent as the reply.
    on_error : callable
        Called with the error of each message that could not be encoded, sent as a
        datagram, or decoded. Failed TCP connections and timeouts are not reported.
    """

    def __init__(self, codec, on_message, on_error):
        super().__init__()
        self._codec = codec
        self._on_message = on_message
        self._on_error = on_error
        self._client = TCPClient()
        self._sock = None
        self.bytes_sent = 0
        self.bytes_received = 0

    def take_byte_counts(self):
        """Return (metric name, bytes) for payload sent and received; reset both."""
        sent, self.bytes_sent = self.bytes_sent, 0
        received, self.bytes_received = self.bytes_received, 0
        return ("mesh.bytes_sent", sent), ("mesh.bytes_received", received)

    def bind_addr(self, addr):
        """Bind a UDP and a TCP socket to the same (IP address, port) and return it.

        If the port is 0, the system chooses one.
        """
        ip, port = addr
        tcp = socket.create_server((ip, port), backlog=128)
        tcp.setblocking(False)
        bound = tcp.getsockname()[:2]
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(bound)
        self.add_sockets([tcp])
        asyncio.get_running_loop().add_reader(self._sock, self._on_readable)
        return bound

    def send(self, addrs, message):
        """Send a message to each address as datagrams, without acknowledgement.

        Member records that do not fit into one datagram are split among several; a
        single record that does not fit goes over TCP.
        """
        try:
            data = self._codec.encode(message)
        except CodecError as exc:
            self._on_error(exc)
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            self._send_split(addrs, message)
            return
        for addr in addrs:
            self.bytes_sent += len(data)
            try:
                self._sock.sendto(data, addr)
            except OSError as exc:
                self._on_error(exc)

    def _send_split(self, addrs, message):
        records = getattr(message.body, "records", ())
        if len(records) < 2:
            loop = asyncio.get_running_loop()
            for addr in addrs:
                loop.create_task(self.send_request(addr, message))
            return
        half = len(records) // 2
        for part in (records[:half], records[half:]):
            self.send(addrs, replace(message, body=Gossip(part)))

    def _on_readable(self):
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            try:
                data, addr = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, ConnectionRefusedError):
                return
            if len(data) > MAX_DATAGRAM_BYTES:
                self._on_error(
                    CodecError(f"datagram is larger than {MAX_DATAGRAM_BYTES} bytes")
                )
                continue
            self._receive(data, addr)

    def _receive(self, data, addr=None):
        self.bytes_received += len(data)
        try:
            message = self._codec.decode(data)
        except CodecError as exc:
            self._on_error(exc)
            return None
        return self._on_message(message, addr)

    async def send_request(self, addr, message):
        """Send a message over TCP; return the reply, or None without a valid one."""
        try:
            stream = await asyncio.wait_for(
                self._client.connect(*addr), FRAME_TIMEOUT_S
            )
            try:
                await self._write(stream, self._codec.encode(message))
                data = await asyncio.wait_for(self._read(stream), FRAME_TIMEOUT_S)
            finally:
                stream.close()
            self.bytes_received += len(data)
            return self._codec.decode(data)
        except CodecError as exc:
            self._on_error(exc)
        except (StreamClosedError, asyncio.TimeoutError, OSError):
            pass
        return None

    async def _write(self, stream, data):
        self.bytes_sent += len(data)
        await stream.write(len(data).to_bytes(4, "big") + data)

    async def _read(self, stream):
        size = int.from_bytes(await stream.read_bytes(4), "big")
        if size > MAX_FRAME_BYTES:
            raise CodecError(f"frame of {size} bytes is too large")
        return await stream.read_bytes(size)

    async def handle_stream(self, stream, address):
        """Read one frame from a TCP connection, and send the reply if there is one."""
        try:
            reply = self._receive(
                await asyncio.wait_for(self._read(stream), FRAME_TIMEOUT_S)
            )
            if reply is not None:
                await self._write(stream, self._codec.encode(reply))
        except (StreamClosedError, asyncio.TimeoutError):
            pass
        except CodecError as exc:
            self._on_error(exc)
        finally:
            stream.close()

    def close(self):
        """Close all sockets."""
        self.stop()
        asyncio.get_running_loop().remove_reader(self._sock)
        self._sock.close()
