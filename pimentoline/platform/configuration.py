"""pimentoline.platform.configuration: parses the operator's configuration."""

from .. import strict_json
from ..errors import ConfigurationError
from ..twohop.model import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    ServiceInfo,
    Share,
)
from .settings import parse_duration, parse_whole_number

__all__ = ["CONFIG_ROW", "parse_configuration"]

# Table and key of the row of the store that contains the operator's configuration.
CONFIG_ROW = ("op", "config")
# Timeout of a route that has no `timeout` field.
DEFAULT_ROUTE_TIMEOUT = "10s"


def _parse_rows(table):
    """Yield each row of a JSON table as a dict by column name, without null fields.

    In the JSON text, each row is a list of values in the order of `columns`.
    """
    columns = table["columns"]
    for row in table["rows"]:
        yield {
            column: value
            for column, value in zip(columns, row, strict=True)
            if value is not None
        }


def _parse_weight(value):
    if type(value) not in (int, float) or value < 0:
        raise ValueError(f"found weight {value!r:.40}; allowed: a number from 0 on")
    return value


def _parse_route(row, service_names):
    split = (
        Share(part["service"], _parse_weight(part["weight"]))
        for part in row.get("traffic_split") or ()
    )
    shares = tuple(share for share in split if share.weight > 0)
    # Without a positive weight, all calls go to the route's own service.
    shares = shares or (Share(row["service"], 1),)
    unknown = [share.service for share in shares if share.service not in service_names]
    if unknown:
        raise ValueError(f"route {row['name']}: unknown service {unknown[0]!r:.60}")
    prefix = row["prefix"]
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(
            f"route {row['name']}: prefix {prefix!r:.60} does not begin and end with /"
        )
    max_attempts = int(row.get("max_attempts", 1))
    if max_attempts < 1:
        raise ValueError(f"route {row['name']}: max_attempts is less than 1")
    timeout = row.get("timeout", DEFAULT_ROUTE_TIMEOUT)
    return Route(
        str(row["name"]),
        row["host"].lower(),
        prefix,
        RouteKind(row["kind"]),
        parse_duration(timeout),
        # `target_latency` is the latency objective of the route.
        parse_duration(row.get("target_latency", timeout)),
        # Priority 0 is the most urgent.
        int(row.get("priority", 0)),
        shares,
        max_attempts,
    )


def _parse_limits(limits):
    defaults = CallerLimits()
    return CallerLimits(
        int(limits.get("header_bytes", defaults.head_bytes)),
        int(limits.get("max_body_bytes", defaults.body_bytes)),
        parse_duration(limits.get("header_timeout", f"{defaults.head_timeout_s}s")),
        parse_duration(limits.get("idle_timeout", f"{defaults.idle_timeout_s}s")),
    )


def parse_configuration(text):
    """Return the `Configuration` in the operator's JSON text.

    Parameters
    ----------
    text : bytes

    Raises
    ------
    ConfigurationError
        Naming the first problem found.
    """
    try:
        document = strict_json.loads(text)
        services = [
            ServiceInfo(
                row["name"],
                # Connections to each target; read, but not enforced.
                int(row.get("max_conns", 0)),
                # Without a path, health checks request `/`.
                str(row.get("health_path", "")),
            )
            for row in _parse_rows(document["services"])
        ]
        service_names = {service.name for service in services}
        routes = [
            _parse_route(row, service_names) for row in _parse_rows(document["routes"])
        ]
        patterns = {(route.host, route.prefix) for route in routes}
        if len(patterns) < len(routes):
            raise ValueError("two routes have the same host and prefix")
        return Configuration.from_routes(
            parse_whole_number(document["version"]),
            routes,
            services,
            _parse_limits(document.get("limits") or {}),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise ConfigurationError(f"{type(exc).__name__}: {exc}") from exc
