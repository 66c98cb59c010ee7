"""pimentoline.store: client of the platform's transactional table service."""

import json
from dataclasses import dataclass
from urllib.parse import quote

from tornado.httpclient import AsyncHTTPClient, HTTPError

from .errors import StoreError, StoreUnavailableError

__all__ = ["Row", "Store"]

REQUEST_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Row:
    """A row; its version grows by one with each write and is 0 if it is absent."""

    key: str
    version: int
    value: object


class Store:
    """Client of the table service.

    Parameters
    ----------
    base_url : str
        For example `http://127.0.0.1:9000`.
    """

    def __init__(self, base_url):
        self._base = base_url.rstrip("/")
        self._http = AsyncHTTPClient(force_instance=True)

    @classmethod
    def from_config(cls, cfg):
        """Make a client of the store that the settings name."""
        return cls(cfg.store_url)

    async def _fetch(self, path, body=None):
        try:
            res = await self._http.fetch(
                self._base + path,
                method="GET" if body is None else "POST",
                body=None if body is None else json.dumps(body),
                connect_timeout=REQUEST_TIMEOUT_S,
                request_timeout=REQUEST_TIMEOUT_S,
            )
        except (HTTPError, OSError) as exc:
            raise StoreUnavailableError(f"store: {exc}") from exc
        try:
            return json.loads(res.body)
        except ValueError as exc:
            raise StoreError(f"store answered no JSON to {path}") from exc

    async def get(self, key):
        """Return the `Row` of a key.

        Raises
        ------
        StoreUnavailableError, StoreError
        """
        return _row(await self._fetch(f"/v1/rows/{quote(key, safe='')}"))

    async def scan(self, prefix, limit=1000):
        """Return the rows whose keys begin with `prefix`, in key order."""
        path = f"/v1/rows?prefix={quote(prefix, safe='')}&limit={limit}"
        answer = await self._fetch(path)
        if not isinstance(answer, list):
            raise StoreError("store answered no list of rows")
        return [_row(item) for item in answer]

    async def commit(self, checks=(), puts=(), deletes=()):
        """Run one transaction, all or nothing.

        Parameters
        ----------
        checks : iterable of (str, int)
            Keys with the versions they must have; 0 means absent.
        puts : iterable of (str, object)
        deletes : iterable of str

        Returns
        -------
        bool
            False if a check did not hold, and nothing was written.

        Raises
        ------
        StoreUnavailableError
            The transaction may have taken effect.
        """
        body = {
            "checks": [{"key": key, "version": ver} for key, ver in checks],
            "puts": [{"key": key, "value": value} for key, value in puts],
            "deletes": list(deletes),
        }
        answer = await self._fetch("/v1/txn", body)
        if not isinstance(answer, dict) or not isinstance(answer.get("ok"), bool):
            raise StoreError("store answered no transaction result")
        return answer["ok"]


def _row(item):
    try:
        return Row(str(item["key"]), int(item["version"]), item["value"])
    except (KeyError, TypeError, ValueError) as exc:
        raise StoreError(f"store answered a malformed row: {item!r:.80}") from exc
