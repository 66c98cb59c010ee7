"""pimentoline.commands.client: client of a node's admin interface."""

import asyncio
import json

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.simple_httpclient import HTTPTimeoutError

from ..errors import NodeUnavailableError
from ..headers import is_final_status

__all__ = ["AdminClient"]

MAX_RESPONSE_BYTES = 32 * 1024 * 1024
CONNECT_TIMEOUT_S = 3.0


class AdminClient:
    """Sends requests to the admin interface of one node.

    Parameters
    ----------
    addr : tuple of (str, int)
    timeout_s : float
        Timeout of a request, including the connection.
    """

    def __init__(self, addr, timeout_s):
        self._base_url = "http://{}:{}".format(*addr)
        self._timeout_s = timeout_s

    def send_request(self, path, method="GET", body=None):
        """Send one request and return the response.

        Parameters
        ----------
        path : str
        method : str
        body : dict or None

        Returns
        -------
        status : int
        response : dict

        Raises
        ------
        NodeUnavailableError
            If the node is unreachable, its response is not a JSON object, or its status
            is not 200 to 599. The attribute `sent` is False if the node cannot have
            received the request.
        """
        data = None
        if method == "POST":
            data = json.dumps(body or {})
        req = HTTPRequest(
            self._base_url + path,
            method=method,
            body=data,
            connect_timeout=min(self._timeout_s, CONNECT_TIMEOUT_S),
            request_timeout=self._timeout_s,
            follow_redirects=False,
        )
        return asyncio.run(self._fetch(req))

    async def _fetch(self, req):
        http = AsyncHTTPClient(
            force_instance=True,
            max_buffer_size=MAX_RESPONSE_BYTES,
            max_body_size=MAX_RESPONSE_BYTES,
        )
        try:
            res = await http.fetch(req, raise_error=False)
            # Tornado reports failures without a response, such as timeouts, as 599.
            if isinstance(res.error, HTTPClientError) and res.code == 599:
                raise res.error
        except ConnectionRefusedError as exc:
            detail = f"no node listens at {self._base_url}"
            raise NodeUnavailableError(detail, sent=False) from exc
        except (HTTPClientError, OSError) as exc:
            # A request that timed out while connecting was not sent.
            connecting = isinstance(exc, HTTPTimeoutError) and "connecting" in str(exc)
            detail = f"{self._base_url}: {exc}"
            raise NodeUnavailableError(detail, sent=not connecting) from exc
        finally:
            http.close()
        if not is_final_status(res.code):
            raise NodeUnavailableError(
                f"response of {self._base_url} has the status {res.code}"
            )
        try:
            response = json.loads(res.body)
        except ValueError:
            response = None
        if not isinstance(response, dict):
            raise NodeUnavailableError(
                f"response of {self._base_url} is not a JSON object"
            )
        return res.code, response
