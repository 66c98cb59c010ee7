"""pimentoline.http_server: an HTTP server that reports closed connections."""

from tornado.httpserver import HTTPServer

__all__ = ["ConnectionServer"]


class ConnectionServer(HTTPServer):
    """Calls `on_close` of its delegate, which `HTTPServer` does not."""

    def on_close(self, server_conn):
        """Handle the end of a connection."""
        super().on_close(server_conn)
        self.request_callback.on_close(server_conn)
