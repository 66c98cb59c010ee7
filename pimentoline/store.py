"""pimentoline.store: client of the platform's transactional table service."""

import json
import time
from dataclasses import dataclass
from urllib.parse import quote

from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.httputil import HTTPInputError

from .errors import StoreBusyError, StoreError, StoreUnavailableError

__all__ = ["Row", "Store"]

# Total timeout of a request, including the retry of a read.
REQUEST_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# Timeout of the first attempt of a read; leaves time for a retry if the response is
# lost.
FIRST_READ_TIMEOUT_S = 1.2
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Requests beyond this number wait in the client; the wait counts towards their timeout.
MAX_REQUESTS = 64
TOO_MANY_REQUESTS = 429


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table.

    Each write adds 1 to `version`; it is 0 if the row does not exist.
    """

    key: str
    version: int
    value: object


class Store:
    """Client of the table service.

    A read is retried once if it fails. A transaction is never retried here, since it
    may have taken effect; callers that recognise their own writes can retry it.

    Parameters
    ----------
    base_url : str
        For example `http://127.0.0.1:9000`.
    metrics : Metrics or None
    """

    def __init__(self, base_url, metrics=None):
        self._base = base_url.rstrip("/")
        self._metrics = metrics
        self._http = AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_REQUESTS,
            max_buffer_size=MAX_RESPONSE_BYTES,
            max_body_size=MAX_RESPONSE_BYTES,
        )

    @classmethod
    def from_config(cls, cfg, metrics=None):
        """Return a client of the store in the settings."""
        return cls(cfg.store_url, metrics)

    def close(self):
        """Close the connections."""
        self._http.close()

    async def _fetch(self, path, body=None, timeout_s=REQUEST_TIMEOUT_S):
        try:
            res = await self._http.fetch(
                self._base + path,
                method="GET" if body is None else "POST",
                body=None if body is None else json.dumps(body),
                connect_timeout=min(timeout_s, CONNECT_TIMEOUT_S),
                request_timeout=timeout_s,
                follow_redirects=False,
            )
        except ConnectionRefusedError as exc:
            raise StoreUnavailableError(f"store: {exc}", False) from exc
        except HTTPClientError as exc:
            if exc.code == TOO_MANY_REQUESTS:
                self._count("store.busy")
                raise StoreBusyError("store: too many requests") from exc
            if 400 <= exc.code < 500:
                # The service rejected the request as invalid and has written nothing.
                raise StoreError(f"store: {exc}", False) from exc
            raise StoreUnavailableError(f"store: {exc}") from exc
        except (OSError, HTTPInputError) as exc:
            raise StoreUnavailableError(f"store: {exc}") from exc
        try:
            return json.loads(res.body)
        except (ValueError, RecursionError) as exc:
            self._count("store.nonsense")
            raise StoreError(f"store response to {path} is not JSON") from exc

    def _count(self, name):
        if self._metrics is not None:
            self._metrics.count(name)

    def _record_duration(self, name, started):
        if self._metrics is not None:
            self._metrics.timing(name, time.monotonic() - started)

    async def _read(self, path, parse):
        """Send a read and return its parsed response; retry once if it fails."""
        started = time.monotonic()
        try:
            try:
                return self._parse(
                    parse, await self._fetch(path, timeout_s=FIRST_READ_TIMEOUT_S)
                )
            except StoreBusyError:
                # An immediate retry would add to the overload.
                raise
            except StoreError:
                remaining_s = REQUEST_TIMEOUT_S - (time.monotonic() - started)
                # A first attempt may have exceeded its timeout by up to 0.1 s.
                if remaining_s < REQUEST_TIMEOUT_S - FIRST_READ_TIMEOUT_S - 0.1:
                    raise
                self._count("store.retried")
                return self._parse(
                    parse, await self._fetch(path, timeout_s=remaining_s)
                )
        finally:
            self._record_duration("store.read", started)

    def _parse(self, parse, response):
        try:
            return parse(response)
        except StoreError:
            self._count("store.nonsense")
            raise

    async def get(self, key):
        """Return the `Row` of a key.

        Raises
        ------
        StoreUnavailableError, StoreError
        """

        def parse(response):
            row = _parse_row(response)
            if row.key != key:
                raise StoreError(f"store returned row {row.key!r:.80} for {key!r:.80}")
            return row

        return await self._read(f"/v1/rows/{quote(key, safe='')}", parse)

    async def scan(self, prefix, limit=1000):
        """Return the rows whose keys begin with `prefix`, in key order.

        Raises
        ------
        StoreUnavailableError, StoreError
        """

        def parse(response):
            if not isinstance(response, list) or len(response) > limit:
                raise StoreError(
                    f"store response is not a list of at most {limit} rows"
                )
            rows = [_parse_row(item) for item in response]
            keys = [row.key for row in rows]
            if keys != sorted(keys) or not all(key.startswith(prefix) for key in keys):
                raise StoreError(
                    f"store returned unsorted rows or keys without prefix {prefix!r}"
                )
            return rows

        path = f"/v1/rows?prefix={quote(prefix, safe='')}&limit={limit}"
        return await self._read(path, parse)

    async def commit(self, checks=(), puts=(), deletes=()):
        """Run one atomic transaction.

        Parameters
        ----------
        checks : iterable of (str, int)
            Keys with the versions that the rows must have; 0 if no row may exist.
        puts : iterable of (str, object)
            Keys with the values to write, which are JSON data.
        deletes : iterable of str
            Keys of the rows to delete.

        Returns
        -------
        bool
            False if a check failed and nothing was written.

        Raises
        ------
        StoreUnavailableError, StoreError
            The transaction may have taken effect if `may_have_written` is True.
        """
        body = {
            "checks": [{"key": key, "version": ver} for key, ver in checks],
            "puts": [{"key": key, "value": value} for key, value in puts],
            "deletes": list(deletes),
        }
        started = time.monotonic()
        try:
            response = await self._fetch("/v1/txn", body)
        finally:
            self._record_duration("store.write", started)
        if not isinstance(response, dict) or not isinstance(response.get("ok"), bool):
            self._count("store.nonsense")
            raise StoreError("store response is not a transaction result")
        return response["ok"]


def _parse_row(item):
    """Return the `Row` in one item of a response.

    Raises
    ------
    StoreError
        If the item is malformed.
    """
    match item:
        case {"key": str(key), "version": int(version), "value": value}:
            if version >= 0 and not isinstance(version, bool):
                return Row(key, version, value)
    raise StoreError(f"store returned a malformed row: {item!r:.80}")
