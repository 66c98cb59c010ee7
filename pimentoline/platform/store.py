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

# A call takes 4 ms; when the store is slow it takes up to 60 times as long.
CALL_TIMEOUT_S = 1.5
# Added to the wait for changes that the store was asked for.
WAIT_MARGIN_S = 1.0
MAX_ANSWER_BYTES = 4 * 1024 * 1024
PAGE_ROWS = 500


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row; `value` is None if it was removed."""

    key: str
    version: int
    value: bytes | None


class PlatformStore:
    """Reads and writes rows with an empty part.

    Parameters
    ----------
    addr : tuple
        Address of the store.
    pool : Pool
    """

    def __init__(self, addr, pool):
        self._addr = addr
        self._pool = pool

    async def _call(self, method, path, body=None, timeout_s=CALL_TIMEOUT_S):
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
                answer = await send_request(
                    conn, method, path, headers, data, MAX_ANSWER_BYTES
                )
            if answer.reusable:
                self._pool.release(conn)
                conn = None
        except (OSError, StreamClosedError, TimeoutError, ResponseError) as exc:
            raise StoreUnavailableError(f"{path:.40}: {exc!r:.80}") from exc
        finally:
            if conn is not None:
                conn.close()
        return self._checked(path, answer)

    def _checked(self, path, answer):
        if answer.status == 429:
            raise StoreBusyError(f"{path:.40}: too many calls")
        if answer.status == 410:
            raise StoreHistoryExpiredError(f"{path:.40}: history is gone")
        if answer.status >= 500:
            raise StoreUnavailableError(f"{path:.40}: status {answer.status}")
        if answer.status not in (200, 412):
            raise StoreError(f"{path:.40}: status {answer.status}", False)
        try:
            return answer.status, json.loads(answer.body)
        except ValueError as exc:
            raise StoreError(f"{path:.40}: answer is not JSON") from exc

    async def read_all(self, table):
        """Return the rows of a table and the version to follow its changes from.

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
            _, item = await self._call("GET", f"/v1/rows-get?{urlencode(query)}")
            try:
                rows += [_row(found) for found in item["rows"]]
                # Changes after the first page are read once more, which is harmless.
                version = item["ver"] if version is None else version
                more = bool(item["has_more"])
            except (KeyError, TypeError) as exc:
                raise StoreError(f"malformed rows: {exc}") from exc
            if not more or not rows:
                return rows, version
            start = rows[-1].key + "\0"

    async def read_changes(self, table, after, wait_s):
        """Return the rows changed after a version, and the version to go on from.

        Raises
        ------
        StoreError
        """
        query = urlencode(
            {"table": table, "after": after, "wait_ms": int(wait_s * 1000)}
        )
        _, item = await self._call(
            "GET", f"/v1/rows-feed?{query}", timeout_s=wait_s + WAIT_MARGIN_S
        )
        try:
            return [_row(found) for found in item["rows"]], item["ver"]
        except (KeyError, TypeError) as exc:
            raise StoreError(f"malformed changes: {exc}") from exc

    async def write(self, table, key, value, expected):
        """Write a row if it has the expected version (0: absent); None removes it.

        Returns
        -------
        int
            Version of the row.

        Raises
        ------
        StoreConflictError, StoreError
        """
        place = {"table": table, "part": "", "key": key}
        body = {
            "expected_rev": [{**place, "ver": expected}],
            "writes": [],
            "remove": [],
        }
        if value is None:
            body["remove"].append(place)
        else:
            text = base64.b64encode(value).decode()
            body["writes"].append({**place, "value": text})
        status, item = await self._call("POST", "/v1/rows-tx", body)
        if status == 412:
            found = [_row(row) for row in item.get("rows", [])]
            row = found[0] if found else StoredRow(key, 0, None)
            raise StoreConflictError(f"row {key} has changed", row.version, row.value)
        try:
            return int(item["ver"])
        except (KeyError, TypeError, ValueError) as exc:
            raise StoreError(f"malformed result: {exc}") from exc


def _row(item):
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        raise StoreError(f"malformed row {item!r:.80}")
    if item.get("deleted") or "value" not in item or item["value"] is None:
        return StoredRow(item["key"], int(item.get("ver", 0)), None)
    try:
        value = base64.b64decode(item["value"], validate=True)
    except (binascii.Error, TypeError, ValueError) as exc:
        raise StoreError(f"row {item['key']!r:.60} is not base64") from exc
    return StoredRow(item["key"], int(item.get("ver", 0)), value)
