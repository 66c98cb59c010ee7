"""pimentoline.platform.store: client of the platform's store."""

import asyncio
import base64
import binascii
import json
import re
from dataclasses import dataclass
from urllib.parse import urlencode

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from .. import strict_json
from ..errors import (
    StoreBusyError,
    StoreConflictError,
    StoreEraChangedError,
    StoreError,
    StoreHistoryExpiredError,
    StoreUnavailableError,
)
from ..logs import log_entry
from ..twohop.exchange import ResponseError, send_request
from ..twohop.store_versions import ABSENT, StoreVersion

__all__ = ["PlatformStore", "StoredRow"]

# A request takes 4 ms, and up to 60 times as long if the store is slow.
REQUEST_TIMEOUT_S = 1.5
# A request that waits for changes times out this long after the end of the wait.
WAIT_MARGIN_S = 1.0
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
PAGE_ROWS = 500
# Header of all responses that counts how often the store came back from an older copy.
ERA_HEADER = "Store-Era"
ERA_PATTERN = re.compile(r"[0-9]{1,18}")


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of a table; `value` is None if the row does not exist."""

    key: str
    version: StoreVersion
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
        # Era of the latest response; None if it had none.
        self._era = None
        # Time-outs of the requests that wait for changes.
        self._watch_timers = set()

    async def _request(self, method, path, body=None, wait_s=None):
        headers = HTTPHeaders({"Host": f"{self._addr[0]}:{self._addr[1]}"})
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
            headers["Content-Length"] = str(len(data))
        timer = asyncio.timeout(
            REQUEST_TIMEOUT_S if wait_s is None else wait_s + WAIT_MARGIN_S
        )
        era_at_start = self._era
        try:
            async with timer:
                if wait_s is not None:
                    self._watch_timers.add(timer)
                response = await self._exchange(method, path, headers, data)
        except (OSError, StreamClosedError, TimeoutError, ResponseError) as exc:
            if wait_s is not None and self._era != era_at_start:
                raise self._era_changed(path) from exc
            if isinstance(exc, TimeoutError):
                # The other connections to the store may have gone silent as well.
                self._pool.close_idle(self._addr)
            raise StoreUnavailableError(f"{path:.40}: {exc!r:.80}") from exc
        finally:
            self._watch_timers.discard(timer)
        self._note_era(path, response, era_at_start)
        return self._parse_response(path, response)

    async def _exchange(self, method, path, headers, data):
        """Send a request on a connection of the pool; return the `Response`."""
        conn = await self._pool.acquire(self._addr, data is None)
        try:
            response = await send_request(
                conn, method, path, headers, data, MAX_RESPONSE_BYTES
            )
            if response.reusable:
                self._pool.release(conn)
                conn = None
            return response
        finally:
            if conn is not None:
                conn.close()

    def _era_changed(self, path, may_have_written=True):
        return StoreEraChangedError(
            f"{path:.40}: the store is in era {self._era}", may_have_written
        )

    def _note_era(self, path, response, era_at_start):
        """Note the era of a response to a request that was sent in `era_at_start`."""
        era = _parse_era(response.headers)
        if era == self._era or (era is None and response.status != 200):
            # Without an era, an error may come from something in front of the store.
            return
        if era == era_at_start:
            # Another response has named a new era meanwhile.
            raise self._era_changed(path)
        log_entry("store:era", era=era, was=self._era)
        self._era = era
        now = asyncio.get_running_loop().time()
        for timer in self._watch_timers:
            timer.reschedule(now)

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
            item = strict_json.loads(bytes(response.body))
        except ValueError as exc:
            raise StoreError(f"{path:.40}: response is not JSON") from exc
        if not isinstance(item, dict):
            raise StoreError(f"{path:.40}: response is not an object")
        return response.status, item

    async def read_all(self, table):
        """Return the rows of a table and the version after which to read changes.

        Returns
        -------
        tuple of (list of StoredRow, StoreVersion)

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
            rows += _parse_rows(table, item, self._era)
            # The version of the first page is kept. Changes made while later pages are
            # read are received a second time, which is harmless.
            if version is None:
                version = _parse_version(item, self._era)
            elif version.era != self._era:
                raise self._era_changed("rows-get")
            if type(item.get("has_more")) is not bool:
                raise StoreError("response does not say whether there are more rows")
            if not item["has_more"]:
                return rows, version
            start = _last_key(item) + "\0"

    async def read_changes(self, table, after, wait_s):
        """Return the rows changed after a version, and the version to continue from.

        The store waits up to `wait_s` seconds for a change.

        Parameters
        ----------
        table : str
        after : StoreVersion
        wait_s : float

        Returns
        -------
        tuple of (list of StoredRow, StoreVersion)

        Raises
        ------
        StoreHistoryExpiredError
            If changes may have been missed, so that all rows have to be read.
        StoreError
        """
        query = urlencode(
            {"table": table, "after": after.number, "wait_ms": int(wait_s * 1000)}
        )
        path = f"/v1/rows-feed?{query}"
        if after.era != self._era:
            raise self._era_changed(path)
        _, item = await self._request("GET", path, wait_s=wait_s)
        version = _parse_version(item, self._era)
        if version.era != after.era:
            raise self._era_changed(path)
        if version.number < after.number:
            raise StoreHistoryExpiredError(
                f"{path:.40}: the version fell to {version.number}"
            )
        return _parse_rows(table, item, self._era), version

    async def write(self, table, key, value, expected):
        """Write a row if it has the expected version; a `value` of None removes it.

        Parameters
        ----------
        table, key : str
        value : bytes or None
        expected : StoreVersion
            Version that the row must have; `ABSENT` if it must not exist.

        Returns
        -------
        StoreVersion
            Version of the row after the write.

        Raises
        ------
        StoreEraChangedError
            If the expected version, or the result of the write, is of an earlier era.
        StoreConflictError, StoreError
        """
        if expected != ABSENT and expected.era != self._era:
            raise self._era_changed("rows-tx", may_have_written=False)
        row_key = {"table": table, "part": "", "key": key}
        body = {
            "expected_rev": [{**row_key, "ver": expected.number}],
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
            found = _parse_rows(table, item, self._era) if "rows" in item else []
            row = found[0] if found else StoredRow(key, ABSENT, None)
            raise StoreConflictError(f"row {key} has changed", row.version, row.value)
        return _parse_version(item, self._era)


def _parse_era(headers):
    """Return the era in the headers of a response; None without a valid one."""
    values = headers.get_list(ERA_HEADER)
    if not values:
        return None
    if len(values) > 1 or not ERA_PATTERN.fullmatch(values[0]):
        log_entry("store:era-unreadable", value=",".join(values)[:60])
        return None
    return int(values[0])


def _parse_version(item, era):
    """Return the `StoreVersion` in a response or a row of an era.

    Raises
    ------
    StoreError
    """
    version = item.get("ver")
    if type(version) is not int:
        raise StoreError(f"malformed version {version!r:.40}")
    return StoreVersion(era, version)


def _last_key(item):
    """Return the last key in a response, also that of a row that is left out.

    Raises
    ------
    StoreError
        If no row has a key.
    """
    for found in reversed(item["rows"]):
        if isinstance(found, dict) and isinstance(found.get("key"), str):
            return found["key"]
    raise StoreError("response has more rows, but no key to continue from")


def _parse_rows(table, item, era):
    """Return the rows in a response of an era.

    A row that breaks the store's protocol is logged and left out, so that it does not
    hide the others.

    Raises
    ------
    StoreError
        If the response has no list of rows.
    """
    items = item.get("rows")
    if not isinstance(items, list):
        raise StoreError(f"malformed rows {items!r:.40}")
    rows = []
    for found in items:
        try:
            rows.append(_parse_row(found, era))
        except StoreError as exc:
            log_entry("store:row-unreadable", table=table, detail=exc.detail[:120])
    return rows


def _parse_row(item, era):
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        raise StoreError(f"malformed row {item!r:.80}")
    key, version = item["key"], _parse_version(item, era)
    if item.get("deleted") or item.get("value") is None:
        return StoredRow(key, version, None)
    try:
        return StoredRow(key, version, base64.b64decode(item["value"], validate=True))
    except (binascii.Error, TypeError, ValueError):
        # The version is kept, so that the row can be replaced.
        log_entry("store:row-unreadable", key=key[:60], detail="value is not base64")
        return StoredRow(key, version, b"")
