"""pimentoline.admin: interface for operators and for the target on this host."""

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

# A text of 1 MiB may take six bytes for each of its bytes in JSON.
MAX_ADMIN_BODY_BYTES = 7 * 1024 * 1024
MAX_TARGETS = 64
MAX_HISTORY = 100
MAX_SHOWN_CHARS = 80
EXPLAIN_DRAWS = 200
STATUS_OF_RESULT = {
    "accepted": 200,
    "conflict": 409,
    "unavailable": 503,
    "unknown": 504,
}
MAX_NAME_CHARS = 200
NAME = re.compile(NAME_PATTERN)


class AdminHandler(RequestHandler):
    """Base of the handlers: JSON in, JSON out, coded errors."""

    def initialize(self, node):
        """Take the node."""
        self.node = node

    def read(self, model):
        """Return the validated body, or answer 400 and return None."""
        try:
            return model.model_validate_json(self.request.body)
        except ValidationError as exc:
            self.fail(400, "bad-request", [_problem(err) for err in exc.errors()])
            return None

    def publisher(self):
        """Return the publisher, or answer 503 if this node has no store."""
        if self.node.store is None:
            self.fail(503, "store-unavailable", "this node has no store")
            return None
        return self.node.publisher

    def held_targets(self):
        """Return the ids of the targets that are announced here and not gone."""
        return {
            target.target_id
            for target in own_record(self.node.state).targets
            if target.state is not TargetState.GONE
        }

    def number(self, name, default, low, high):
        """Return a whole number of the query, or answer 400."""
        word = self.get_query_argument(name, None)
        if word is None:
            return default
        if not (word.isascii() and word.isdigit()) or not low <= int(word[:12]) <= high:
            detail = f"{name}: found {word[:20]!r}; allowed: {low} to {high}"
            raise HTTPError(400, log_message=detail.replace("%", "%%"))
        return int(word)

    def fail(self, status, code, detail):
        """Answer with an error."""
        self.set_status(status)
        self.finish({"error": code, "detail": detail})

    def write_error(self, status_code, **kwargs):
        """Answer an error of the framework as JSON too."""
        exc = kwargs.get("exc_info", (None, None))[1]
        detail = getattr(exc, "log_message", None) or self._reason
        code = "internal" if status_code >= 500 else "bad-request"
        self.finish({"error": code, "detail": detail})

    def log_exception(self, typ, value, tb):
        """Log what is not an answer to a bad request."""
        if not isinstance(value, HTTPError):
            self.node.metrics.count("admin.failed")
            super().log_exception(typ, value, tb)


class TargetHandler(AdminHandler):
    """Announcements of the target on this host."""

    def put(self, target_id):
        """Announce or renew."""
        said = self.read(Announcement)
        if said is None:
            return
        held = self.held_targets()
        if not NAME.fullmatch(target_id) or len(target_id) > MAX_NAME_CHARS:
            self.fail(400, "bad-request", f"target id {target_id[:80]!r}")
            return
        if target_id not in held and len(held) >= MAX_TARGETS:
            detail = f"{MAX_TARGETS} targets are announced at this node already"
            self.fail(400, "bad-request", detail)
            return
        me = self.node.state.identity
        target = Target(
            target_id,
            said.service,
            said.addr,
            me.region,
            me.dc,
            said.slots,
            said.connections,
            said.state,
            said.load_path,
            said.version,
        )
        self.node.dispatch(ev.TargetAnnounced(self.node.clock(), target))
        self.finish({"node": me.node_id})

    def delete(self, target_id):
        """Withdraw a target that has stopped."""
        self.node.dispatch(ev.TargetWithdrawn(self.node.clock(), target_id))
        self.finish({})


class DrainHandler(AdminHandler):
    """Drains a target."""

    def post(self, target_id):
        """Stop new calls to the target."""
        if target_id not in self.held_targets():
            detail = f"target {target_id[:80]!r} is not announced at this node"
            self.fail(404, "not-found", detail)
            return
        self.node.dispatch(ev.TargetDrained(self.node.clock(), target_id))
        self.finish({"target": target_id, "state": TargetState.DRAINING.value})


class StatusHandler(AdminHandler):
    """State of this node."""

    def get(self):
        """Answer the node's state."""
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
    """The mesh as this node sees it."""

    def get(self):
        """Answer the member records."""
        members = self.node.state.mesh.members
        records = [dataclasses.asdict(members[name]) for name in sorted(members)]
        self.finish(json.dumps({"members": records}, default=lambda item: item.value))


class ConfigHandler(AdminHandler):
    """The rules in force, and their replacement."""

    async def get(self):
        """Answer the rules in force, or the text of an earlier version."""
        rules = self.node.state.rules
        version = self.number("version", None, 1, 10**10)
        if version is None or version == rules.version:
            self.finish({"version": rules.version, "text": rules.text})
            return
        publisher = self.publisher()
        if publisher is None:
            return
        try:
            text = await publisher.rules_text(version)
        except PimentolineError as exc:
            self.fail(503, exc.code, exc.detail)
            return
        if text is None:
            self.fail(404, "not-found", f"there is no version {version}")
            return
        self.finish({"version": version, "text": text})

    async def post(self):
        """Apply a rules text with compare-and-set."""
        said = self.read(ApplyRequest)
        if said is None:
            return
        # A long text would otherwise stop the calls of this node while it is parsed.
        loop = asyncio.get_running_loop()
        result = await loop.run_in_executor(None, parse, said.text)
        if result.ruleset is None:
            self.fail(400, "rules-invalid", [str(item) for item in result.diagnostics])
            return
        publisher = self.publisher()
        if publisher is None:
            return
        answer = await publisher.apply(said.base, said.text, said.author, said.attempt)
        self.node.metrics.count(f"apply.{answer['result']}")
        log_entry(
            "rules:apply",
            result=answer["result"],
            author=said.author,
            attempt=said.attempt,
            base=said.base,
        )
        self.set_status(STATUS_OF_RESULT[answer["result"]])
        self.finish(answer)


class HistoryHandler(AdminHandler):
    """The audit trail."""

    async def get(self):
        """Answer audit rows, the latest first, and the nodes that hold each one."""
        limit = self.number("limit", 20, 1, MAX_HISTORY)
        before = self.number("before", None, 1, 10**10)
        publisher = self.publisher()
        if publisher is None:
            return
        try:
            rows = await publisher.history(limit, before)
        except PimentolineError as exc:
            self.fail(503, exc.code, exc.detail)
            return
        versions = await versions_in_force(self.node)
        for row in rows:
            held = [name for name, ver in versions.items() if ver == row["version"]]
            row["nodes"] = sorted(held)
        silent = sorted(name for name, ver in versions.items() if ver is None)
        self.finish({"history": rows, "members": len(versions), "silent": silent})


class ExplainHandler(AdminHandler):
    """What the node would do with a call."""

    def post(self):
        """Answer the decisions of the pure core, without sending anything."""
        said = self.read(ExplainRequest)
        if said is None:
            return
        node = self.node
        draws = [node.draw() for _ in range(EXPLAIN_DRAWS)]
        self.finish(explain(node.state, said, node.clock(), draws))


class UnknownPathHandler(AdminHandler):
    """Every other path."""

    def prepare(self):
        """Answer 404."""
        self.fail(404, "not-found", f"path {self.request.path[:MAX_SHOWN_CHARS]!r}")


def _problem(err):
    """Return one problem of a body as text; long input is cut."""
    where = ".".join(map(str, err["loc"])) or "body"
    return f"{where}: {err['msg']}, found {str(err['input'])[:MAX_SHOWN_CHARS]!r}"


def make_admin_app(node):
    """Return the application of the operators' interface."""
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
        # Targets renew every second; requests are counted, not logged.
        log_function=lambda handler: None,
    )
