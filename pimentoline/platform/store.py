"""pimentoline.platform.store: client of the platform's store."""

import asyncio
import base64
import binascii
import json
from dataclasses import dataclass
from urllib.parse import urlencode

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from ..errors import (
    StoreBusyError,
    StoreConflictError,
    StoreError,
    StoreHistoryExpiredError,
    StoreUnavailableError,
)
from ..twohop.exchange import ResponseError, send_request

__all__ = ["PlatformStore", "StoredRow"]

# A request takes 4 ms, and up to 60 times as long if the store is slow.
REQUEST_TIMEOUT_S = 1.5
# A request that waits for changes times out this long after the end of the wait.
WAIT_MARGIN_S = 1.0
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
PAGE_ROWS = 500


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of a table; `value` is None if the row does not exist."""

    key: str
    version: int
    value: bytes | None


class PlatformStore:
    """Client of the store; the field `part` of each row key is always empty.

    Parameters
    ----------
    addr : tuple of (str, int)
        IP address and port of the store.
    pool : Pool
    """

    def __init__(self, addr, pool):
        self._addr = addr
        self._pool = pool

    async def _request(self, method, path, body=None, timeout_s=REQUEST_TIMEOUT_S):
        headers = HTTPHeaders({"Host": f"{self._addr[0]}:{self._addr[1]}"})
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
            headers["Content-Length"] = str(len(data))
        conn = None
        try:
            async with asyncio.timeout(timeout_s):
                conn = await self._pool.acquire(self._addr, body is None)
                response = await send_request(
                    conn, method, path, headers, data, MAX_RESPONSE_BYTES
                )
            if response.reusable:
                self._pool.release(conn)
                conn = None
        except (OSError, StreamClosedError, TimeoutError, ResponseError) as exc:
            if isinstance(exc, TimeoutError):
                # The other connections to the store may have gone silent as well.
                self._pool.close_idle(self._addr)
            raise StoreUnavailableError(f"{path:.40}: {exc!r:.80}") from exc
        finally:
            if conn is not None:
                conn.close()
        return self._parse_response(path, response)

    def _parse_response(self, path, response):
        if response.status == 429:
            raise StoreBusyError(f"{path:.40}: rate limit exceeded")
        if response.status == 410:
            raise StoreHistoryExpiredError(
                f"{path:.40}: changes are no longer available"
            )
        if response.status >= 500:
            raise StoreUnavailableError(f"{path:.40}: status {response.status}")
        if response.status not in (200, 412):
            raise StoreError(f"{path:.40}: status {response.status}", False)
        try:
            return response.status, json.loads(response.body)
        except ValueError as exc:
            raise StoreError(f"{path:.40}: response is not JSON") from exc

    async def read_all(self, table):
        """Return the rows of a table and the version after which to read changes.

        Raises
        ------
        StoreError
        """
        rows = []
        version = None
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if start:
                query["range_start"] = start
            _, item = await self._request("GET", f"/v1/rows-get?{urlencode(query)}")
            try:
                rows += [_parse_row(found) for found in item["rows"]]
                # The version of the first page is kept. Changes made while later pages
                # are read are received a second time, which is harmless.
                version = item["ver"] if version is None else version
                has_more = bool(item["has_more"])
            except (KeyError, TypeError) as exc:
                raise StoreError(f"malformed rows: {exc}") from exc
            if not has_more or not rows:
                return rows, version
            start = rows[-1].key + "\0"

    async def read_changes(self, table, after, wait_s):
        """Return the rows changed after a version, and the version to continue from.

        The store waits up to `wait_s` seconds for a change.

        Raises
        ------
        StoreError
        """
        query = urlencode(
            {"table": table, "after": after, "wait_ms": int(wait_s * 1000)}
        )
        _, item = await self._request(
            "GET", f"/v1/rows-feed?{query}", timeout_s=wait_s + WAIT_MARGIN_S
        )
        try:
            return [_parse_row(found) for found in item["rows"]], item["ver"]
        except (KeyError, TypeError) as exc:
            raise StoreError(f"malformed changes: {exc}") from exc

    async def write(self, table, key, value, expected):
        """Write a row if it has the expected version; a `value` of None removes it.

        Parameters
        ----------
        table, key : str
        value : bytes or None
        expected : int
            Version that the row must have; 0 if it must not exist.

        Returns
        -------
        int
            Version of the row after the write.

        Raises
        ------
        StoreConflictError, StoreError
        """
        row_key = {"table": table, "part": "", "key": key}
        body = {
            "expected_rev": [{**row_key, "ver": expected}],
            "writes": [],
            "remove": [],
        }
        if value is None:
            body["remove"].append(row_key)
        else:
            text = base64.b64encode(value).decode()
            body["writes"].append({**row_key, "value": text})
        status, item = await self._request("POST", "/v1/rows-tx", body)
        if status == 412:
            found = [_parse_row(row) for row in item.get("rows", [])]
            row = found[0] if found else StoredRow(key, 0, None)
            raise StoreConflictError(f"row {key} has changed", row.version, row.value)
        try:
            return int(item["ver"])
        except (KeyError, TypeError, ValueError) as exc:
            raise StoreError(f"malformed result: {exc}") from exc


def _parse_row(item):
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        raise StoreError(f"malformed row {item!r:.80}")
    if item.get("deleted") or "value" not in item or item["value"] is None:
        return StoredRow(item["key"], int(item.get("ver", 0)), None)
    try:
        value = base64.b64decode(item["value"], validate=True)
    except (binascii.Error, TypeError, ValueError) as exc:
        raise StoreError(f"row {item['key']!r:.60} is not base64") from exc
    return StoredRow(item["key"], int(item.get("ver", 0)), value)
