"""pimentoline.admin: interface for operators and for the target on this host."""

import dataclasses
import json

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from tornado.web import Application, RequestHandler

from . import events as ev
from .errors import PimentolineError
from .model import Target, TargetState
from .rules import parse

__all__ = ["make_admin_app"]

MAX_RULES_BYTES = 1024 * 1024


class Announcement(BaseModel):
    """What a target says of itself."""

    model_config = ConfigDict(extra="forbid")

    service: str = Field(pattern=r"^[a-z0-9-]+$")
    addr: tuple[str, int]
    slots: int = Field(12, ge=1)
    connections: int = Field(260, ge=1)
    state: TargetState = TargetState.UP
    load_path: str = Field("/load", pattern=r"^/")
    version: str = ""


class ApplyRequest(BaseModel):
    """A rules text to put in force."""

    base: int = Field(ge=0)
    text: str = Field(max_length=MAX_RULES_BYTES)
    author: str = Field(min_length=1)
    attempt: str = Field(min_length=8)


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
            self.fail(400, "bad-request", json.loads(exc.json(include_url=False)))
            return None

    def fail(self, status, code, detail):
        """Answer with an error."""
        self.set_status(status)
        self.finish({"error": code, "detail": detail})


class TargetHandler(AdminHandler):
    """Announcements of the target on this host."""

    def put(self, target_id):
        """Announce or renew."""
        said = self.read(Announcement)
        if said is None:
            return
        me = self.node.state.me
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
        self.node.dispatch(ev.TargetDrained(self.node.clock(), target_id))
        self.finish({})


class StatusHandler(AdminHandler):
    """State of this node."""

    def get(self):
        """Answer the node's state."""
        state = self.node.state
        self.finish(
            {
                "node": state.me.node_id,
                "region": state.me.region,
                "dc": state.me.dc,
                "rules": {
                    "version": state.rules.version,
                    "source": state.rules.source,
                    "heard": state.rules.heard,
                },
                "calls": len(state.traffic.calls),
                "members": len(state.mesh.members),
                "counters": dict(self.node.metrics.counters),
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

    def get(self):
        """Answer the rules in force."""
        rules = self.node.state.rules
        self.finish({"version": rules.version, "text": rules.text})

    async def post(self):
        """Apply a rules text with compare-and-set."""
        said = self.read(ApplyRequest)
        if said is None:
            return
        result = parse(said.text)
        if result.ruleset is None:
            self.fail(400, "rules-invalid", [str(item) for item in result.diagnostics])
            return
        if self.node.store is None:
            self.fail(503, "store-unavailable", "this node has no store")
            return
        self.finish(
            await self.node.publisher.apply(
                said.base, said.text, said.author, said.attempt
            )
        )


class HistoryHandler(AdminHandler):
    """The audit trail."""

    async def get(self):
        """Answer the audit rows."""
        try:
            self.finish({"history": await self.node.publisher.history()})
        except PimentolineError as exc:
            self.fail(503, exc.code, exc.detail)


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
        ]
    )
