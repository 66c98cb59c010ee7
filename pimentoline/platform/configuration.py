"""pimentoline.platform.configuration: the operator's configuration, decoded once."""

import json

from ..errors import ConfigurationError
from ..twohop.model import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    ServiceInfo,
    Share,
)
from .settings import parse_duration

__all__ = ["CONFIG_ROW", "parse_configuration"]

# Table and key of the row that the operator writes.
CONFIG_ROW = ("op", "config")
DEFAULT_TIMEOUT = "10s"


def _rows(table):
    """Return the rows of a table of columns as mappings without the empty fields."""
    names = table["columns"]
    for row in table["rows"]:
        yield {
            name: value
            for name, value in zip(names, row, strict=True)
            if value is not None
        }


def _route(item, services):
    shares = tuple(
        Share(part["service"], int(part["weight"]))
        for part in item.get("traffic_split") or ()
        if int(part["weight"]) > 0
    )
    shares = shares or (Share(item["service"], 1),)
    unknown = [share.service for share in shares if share.service not in services]
    if unknown:
        raise ValueError(f"route {item['name']}: unknown service {unknown[0]!r:.60}")
    prefix = item["prefix"]
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"route {item['name']}: prefix {prefix!r:.60}")
    attempts = int(item.get("max_attempts", 1))
    if attempts < 1:
        raise ValueError(f"route {item['name']}: no attempts")
    timeout = item.get("timeout", DEFAULT_TIMEOUT)
    return Route(
        str(item["name"]),
        item["host"].lower(),
        prefix,
        RouteKind(item["kind"]),
        parse_duration(timeout),
        parse_duration(item.get("target_latency", timeout)),
        int(item.get("priority", 0)),
        shares,
        attempts,
    )


def _limits(item):
    plain = CallerLimits()
    return CallerLimits(
        int(item.get("header_bytes", plain.head_bytes)),
        int(item.get("max_body_bytes", plain.body_bytes)),
        parse_duration(item.get("header_timeout", f"{plain.head_timeout_s}s")),
        parse_duration(item.get("idle_timeout", f"{plain.idle_timeout_s}s")),
    )


def parse_configuration(text):
    """Return the `Configuration` of the operator's text (JSON bytes).

    Raises
    ------
    ConfigurationError
        Naming the first thing that is wrong; nothing of the text is used then.
    """
    try:
        item = json.loads(text)
        services = [
            ServiceInfo(
                found["name"],
                int(found.get("max_conns", 0)),
                str(found.get("health_path", "")),
            )
            for found in _rows(item["services"])
        ]
        names = {service.name for service in services}
        routes = [_route(found, names) for found in _rows(item["routes"])]
        places = {(route.host, route.prefix) for route in routes}
        if len(places) < len(routes):
            raise ValueError("two routes have the same host and prefix")
        return Configuration.from_routes(
            int(item["version"]), routes, services, _limits(item.get("limits") or {})
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise ConfigurationError(f"{type(exc).__name__}: {exc}") from exc
