"""pimentoline.admin: HTTP interface for operators and for the target on this host."""

import asyncio
import dataclasses
import json
import re

from pydantic import ValidationError
from tornado.web import Application, HTTPError, RequestHandler

from . import events as ev
from .admin_models import Announcement, ApplyRequest, ExplainRequest
from .errors import PimentolineError
from .explain import explain
from .logs import log_entry
from .member_records import own_record
from .model import Target, TargetState
from .rules import parse
from .rules.field_parsers import NAME_PATTERN
from .version_survey import versions_in_force

__all__ = ["MAX_ADMIN_BODY_BYTES", "make_admin_app"]

# JSON may escape each byte of a rules text of 1 MiB as six bytes.
MAX_ADMIN_BODY_BYTES = 7 * 1024 * 1024
MAX_ANNOUNCED_TARGETS = 64
MAX_HISTORY_ROWS = 100
MAX_ECHOED_CHARS = 80
# The choice of a target is random, so an explanation repeats the decision this many
# times and shows the distribution of the results.
EXPLAIN_TRIALS = 200
# HTTP status for each `result` of `Publisher.apply`.
HTTP_STATUS_BY_RESULT = {
    "accepted": 200,
    "conflict": 409,
    "unavailable": 503,
    "unknown": 504,
}
MAX_TARGET_ID_CHARS = 200
NAME_REGEX = re.compile(NAME_PATTERN)


class AdminHandler(RequestHandler):
    """Base class of the handlers; requests, responses and errors are JSON."""

    def initialize(self, node):
        """Set the node that the handler works on."""
        self.node = node

    def read_body(self, model):
        """Return the validated body; if it is invalid, respond 400 and return None."""
        try:
            return model.model_validate_json(self.request.body)
        except ValidationError as exc:
            self.respond_error(
                400, "bad-request", [_format_problem(err) for err in exc.errors()]
            )
            return None

    def get_publisher(self):
        """Return the publisher; if the node has no store, respond 503 and return None.

        The publisher writes rules versions and their audit trail to the store, the
        platform's transactional table service, and reads them from it.
        """
        if self.node.store is None:
            self.respond_error(503, "store-unavailable", "this node has no store")
            return None
        return self.node.publisher

    def announced_target_ids(self):
        """Return the ids of the targets announced at this node that are not gone.

        A target is gone if it was withdrawn or its announcement was no longer renewed.
        """
        return {
            target.target_id
            for target in own_record(self.node.state).targets
            if target.state is not TargetState.GONE
        }

    def int_argument(self, name, default, low, high):
        """Return a whole number from the query, or `default` if it is absent.

        Raises
        ------
        HTTPError
            With status 400 if the text is not a number from `low` to `high`.
        """
        text = self.get_query_argument(name, None)
        if text is None:
            return default
        # `int` rejects very long text, and 12 digits are enough to exceed `high` if the
        # first is not 0.
        if not (text.isascii() and text.isdigit()) or not low <= int(text[:12]) <= high:
            detail = f"{name}: found {text[:20]!r}; allowed: {low} to {high}"
            raise HTTPError(400, log_message=detail.replace("%", "%%"))
        return int(text)

    def respond_error(self, status, code, detail):
        """Respond with an HTTP status and a JSON body that describes the error."""
        self.set_status(status)
        self.finish({"error": code, "detail": detail})

    def write_error(self, status_code, **kwargs):
        """Respond to an exception with JSON instead of tornado's HTML page."""
        exc = kwargs.get("exc_info", (None, None))[1]
        detail = getattr(exc, "log_message", None) or self._reason
        code = "internal" if status_code >= 500 else "bad-request"
        self.finish({"error": code, "detail": detail})

    def log_exception(self, typ, value, tb):
        """Count and log unexpected exceptions; an `HTTPError` is an error response."""
        if not isinstance(value, HTTPError):
            self.node.metrics.count("admin.failed")
            super().log_exception(typ, value, tb)


class TargetHandler(AdminHandler):
    """Announces and withdraws targets on this host."""

    def put(self, target_id):
        """Announce a target, or renew its announcement."""
        announcement = self.read_body(Announcement)
        if announcement is None:
            return
        announced = self.announced_target_ids()
        if not NAME_REGEX.fullmatch(target_id) or len(target_id) > MAX_TARGET_ID_CHARS:
            self.respond_error(
                400, "bad-request", f"target id {target_id[:80]!r} is invalid"
            )
            return
        if target_id not in announced and len(announced) >= MAX_ANNOUNCED_TARGETS:
            detail = (
                f"this node has {MAX_ANNOUNCED_TARGETS} announced targets, the maximum"
            )
            self.respond_error(400, "bad-request", detail)
            return
        identity = self.node.state.identity
        target = Target(
            target_id,
            announcement.service,
            announcement.addr,
            identity.region,
            identity.dc,
            announcement.slots,
            announcement.connections,
            announcement.state,
            announcement.load_path,
            announcement.version,
        )
        self.node.dispatch(ev.TargetAnnounced(self.node.clock(), target))
        self.finish({"node": identity.node_id})

    def delete(self, target_id):
        """Withdraw a target that has stopped."""
        self.node.dispatch(ev.TargetWithdrawn(self.node.clock(), target_id))
        self.finish({})


class DrainHandler(AdminHandler):
    """Drains a target."""

    def post(self, target_id):
        """Start the drain: no new calls go to the target."""
        if target_id not in self.announced_target_ids():
            detail = f"target {target_id[:80]!r} is not announced at this node"
            self.respond_error(404, "not-found", detail)
            return
        self.node.dispatch(ev.TargetDrained(self.node.clock(), target_id))
        self.finish({"target": target_id, "state": TargetState.DRAINING.value})


class StatusHandler(AdminHandler):
    """Shows the state of this node."""

    def get(self):
        """Respond with the node's state, counters and timings.

        The version `heard` is the highest rules version that any peer or the store has
        reported; the node may not have loaded it yet.
        """
        state = self.node.state
        self.finish(
            {
                "node": state.identity.node_id,
                "region": state.identity.region,
                "dc": state.identity.dc,
                "rules": {
                    "version": state.rules.version,
                    "source": state.rules.source,
                    "heard": state.rules.known_version,
                },
                "calls": len(state.traffic.calls),
                "members": len(state.mesh.members),
                "targets": [
                    {"target_id": target.target_id, "state": target.state.value}
                    for target in own_record(state).targets
                ],
                "counters": dict(self.node.metrics.counters),
                "timings": self.node.metrics.timings,
            }
        )


class MeshHandler(AdminHandler):
    """Shows the mesh as this node sees it."""

    def get(self):
        """Respond with the member records."""
        members = self.node.state.mesh.members
        records = [dataclasses.asdict(members[name]) for name in sorted(members)]
        self.finish(json.dumps({"members": records}, default=lambda item: item.value))


class ConfigHandler(AdminHandler):
    """Shows and replaces the rules in force."""

    async def get(self):
        """Respond with the rules in force, or with the text of another version."""
        rules = self.node.state.rules
        version = self.int_argument("version", None, 1, 10**10)
        if version is None or version == rules.version:
            self.finish({"version": rules.version, "text": rules.text})
            return
        publisher = self.get_publisher()
        if publisher is None:
            return
        try:
            text = await publisher.rules_text(version)
        except PimentolineError as exc:
            self.respond_error(503, exc.code, exc.detail)
            return
        if text is None:
            self.respond_error(404, "not-found", f"there is no version {version}")
            return
        self.finish({"version": version, "text": text})

    async def post(self):
        """Apply a rules text if the version that it is based on is still in force.

        `attempt` is a unique id of the request. If the request is retried with the same
        id, the text is accepted at most once.
        """
        body = self.read_body(ApplyRequest)
        if body is None:
            return
        # Parsing a long text in the event loop would block the calls of this node.
        loop = asyncio.get_running_loop()
        result = await loop.run_in_executor(None, parse, body.text)
        if result.ruleset is None:
            self.respond_error(
                400, "rules-invalid", [str(item) for item in result.diagnostics]
            )
            return
        publisher = self.get_publisher()
        if publisher is None:
            return
        outcome = await publisher.apply(body.base, body.text, body.author, body.attempt)
        self.node.metrics.count(f"apply.{outcome['result']}")
        log_entry(
            "rules:apply",
            result=outcome["result"],
            author=body.author,
            attempt=body.attempt,
            base=body.base,
        )
        self.set_status(HTTP_STATUS_BY_RESULT[outcome["result"]])
        self.finish(outcome)


class HistoryHandler(AdminHandler):
    """Shows the audit trail."""

    async def get(self):
        """Respond with audit rows, latest first, and the nodes that use each version.

        `members` is the number of running nodes, this one included, and `silent` lists
        those that did not report a version.
        """
        limit = self.int_argument("limit", 20, 1, MAX_HISTORY_ROWS)
        before = self.int_argument("before", None, 1, 10**10)
        publisher = self.get_publisher()
        if publisher is None:
            return
        try:
            rows = await publisher.history(limit, before)
        except PimentolineError as exc:
            self.respond_error(503, exc.code, exc.detail)
            return
        versions = await versions_in_force(self.node)
        for row in rows:
            nodes = [name for name, ver in versions.items() if ver == row["version"]]
            row["nodes"] = sorted(nodes)
        silent = sorted(name for name, ver in versions.items() if ver is None)
        self.finish({"history": rows, "members": len(versions), "silent": silent})


class ExplainHandler(AdminHandler):
    """Explains what the node would do with a call."""

    def post(self):
        """Respond with the decisions about a call, without sending it to a target."""
        body = self.read_body(ExplainRequest)
        if body is None:
            return
        node = self.node
        # Random integers, on which the random choices of the trials depend.
        draws = [node.draw() for _ in range(EXPLAIN_TRIALS)]
        self.finish(explain(node.state, body, node.clock(), draws))


class UnknownPathHandler(AdminHandler):
    """Handles requests for unknown paths."""

    def prepare(self):
        """Respond 404."""
        self.respond_error(
            404,
            "not-found",
            f"path {self.request.path[:MAX_ECHOED_CHARS]!r} is unknown",
        )


def _format_problem(err):
    """Return a pydantic validation error as text, with long input truncated."""
    location = ".".join(map(str, err["loc"])) or "body"
    return f"{location}: {err['msg']}, found {str(err['input'])[:MAX_ECHOED_CHARS]!r}"


def make_admin_app(node):
    """Return the tornado application of the admin interface."""
    args = {"node": node}
    return Application(
        [
            (r"/v1/targets/([^/]+)/drain", DrainHandler, args),
            (r"/v1/targets/([^/]+)", TargetHandler, args),
            (r"/v1/status", StatusHandler, args),
            (r"/v1/mesh", MeshHandler, args),
            (r"/v1/config", ConfigHandler, args),
            (r"/v1/history", HistoryHandler, args),
            (r"/v1/explain", ExplainHandler, args),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=args,
        # Targets renew their announcements every second, so requests are not logged.
        log_function=lambda handler: None,
    )
