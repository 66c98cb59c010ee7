"""pimentoline.metric_names: tables of all metrics and log entries."""

__all__ = ["LOG_ENTRIES", "METRICS", "is_known_metric"]

# name: (kind, unit, meaning); a name that ends with `*` stands for several metrics.
METRICS = {
    "admin.failed": (
        "counter",
        "requests",
        "admin requests that raised an unexpected exception",
    ),
    "apply.accepted": ("counter", "requests", "rules texts accepted through this node"),
    "apply.conflict": (
        "counter",
        "requests",
        "rules texts based on an outdated version",
    ),
    "apply.unavailable": (
        "counter",
        "requests",
        "rules texts not written, store unavailable",
    ),
    "apply.unknown": (
        "counter",
        "requests",
        "rules texts that may or may not have been written",
    ),
    "attempts.hedged": ("counter", "attempts", "second attempts of slow calls"),
    "attempts.retried": ("counter", "attempts", "attempts after a failed one"),
    "calls.*": ("counter", "calls", "calls refused by this node, by error code"),
    # A claim is an entry in the store that lets at most one of the calls with the same
    # idempotency key run. The metric counts the writes that were given up.
    "claims.abandoned": ("counter", "claims", "writes to claims that were given up"),
    "mesh.bytes_received": ("counter", "bytes", "payload received from other nodes"),
    "mesh.bytes_sent": ("counter", "bytes", "payload sent to other nodes"),
    "mesh.newer": ("counter", "messages", "messages of a newer release, ignored"),
    "mesh.records_skipped": (
        "counter",
        "records",
        "records of a newer release, ignored",
    ),
    "mesh.refused": ("counter", "messages", "malformed or unsigned messages"),
    "mesh.refuted": (
        "counter",
        "suspicions",
        "suspicions of this node that it refuted",
    ),
    "mesh.suspected": ("counter", "members", "members that became suspect"),
    "mesh.unanswered": (
        "counter",
        "messages",
        "requests without a response from the peer",
    ),
    "node.paused": (
        "counter",
        "pauses",
        "times that this process did not run for several seconds",
    ),
    "probes.bytes": ("counter", "bytes", "sent to and received from targets by probes"),
    "probes.failed": ("counter", "probes", "probes without a usable response"),
    "probes.sent": ("counter", "probes", "probes sent to targets"),
    "rules.invalid": ("counter", "texts", "invalid texts from peers or the store"),
    "rules.older_ignored": (
        "counter",
        "texts",
        "texts not newer than the one in force",
    ),
    "store.busy": (
        "counter",
        "requests",
        "requests rejected by the store's rate limit",
    ),
    "store.failed": ("counter", "requests", "store requests that failed"),
    "store.nonsense": (
        "counter",
        "responses",
        "responses that violate the store's protocol",
    ),
    "store.read": ("timing", "ms", "duration of a read, including its retry"),
    "store.retried": ("counter", "requests", "reads that were sent a second time"),
    "store.write": ("timing", "ms", "duration of a transaction"),
    "targets.refused": (
        "counter",
        "announcements",
        "announcements with an invalid port",
    ),
}

# name: (fields, meaning)
LOG_ENTRIES = {
    "mesh:dead": ("node", "a member is considered dead"),
    "node:started": ("node, data, mesh", "the node has started and accepts calls"),
    "node:stopped": ("node", "the node has finished its calls and exits"),
    "rules:apply": (
        "result, author, attempt, base",
        "an operator applied a rules text through this node",
    ),
    "rules:in-force": (
        "version, source",
        "this node has begun to use another rules version",
    ),
    "store:unavailable": ("detail", "the store did not respond when it was needed"),
    "target:silent": ("target", "a target stopped renewing its announcement"),
    # The entries below are written only by the packages `pimentoline.twohop` and
    # `pimentoline.platform`. There, a call passes through two nodes: that on the host
    # of the caller and that on the host of the target. `verdict` is `not-run`,
    # `may-have-run` or `ran`, depending on what is known about the execution of the
    # request. A link is a connection between two nodes. A row is the record of a node
    # in the store's table of members. `born_ms` is the start of the target, Unix time
    # in milliseconds, and `sequence` increases with each of its heartbeats.
    "call:body-timeout": (
        "request, path",
        "a body was not received by the deadline of its call",
    ),
    "call:broken": (
        "request, target, reason, verdict, detail",
        "an attempt at a target ended without a usable response",
    ),
    "call:deadline-unreadable": (
        "value",
        "the deadline of a caller is not a number and is ignored",
    ),
    "call:error": ("request, detail", "an internal error ended a call"),
    # `asked` lists the nodes that the call was sent to; `age_ms` is the time since the
    # call arrived.
    "call:no-memory": (
        "request or node, path",
        "a request was refused because there is no memory for its body",
    ),
    "call:refused": (
        "request, route, service, status, reason, asked, attempts, verdict, age_ms",
        "the caller's node ended a call with its own error, not a target's response",
    ),
    "call:stalled": (
        "request, node",
        "a call was sent to another node as well, since the link to `node` is silent",
    ),
    "call:status-invalid": (
        "request, node, status",
        "a node passed on a response with a status that HTTP does not have",
    ),
    "call:unrouted": ("host, path, version", "no route in force matches a call"),
    "caller:not-reading": (
        "path",
        "the connection of a caller that did not read its response was closed",
    ),
    "caller:too-many": (
        "limit, closed_waiting",
        "a connection was closed because there were too many",
    ),
    "response:no-memory": (
        "node",
        "a response was discarded because there is no memory for its body",
    ),
    # `known` is the newer version.
    "config:behind": (
        "version, known, source",
        "a peer has a newer configuration that the store has not delivered here",
    ),
    # `was` is the previous version.
    "config:in-force": (
        "version, was, source",
        "this node has begun to use another configuration",
    ),
    "config:older": (
        "version, known, source",
        "an older configuration than the one in force was received and ignored",
    ),
    "config:refused": ("source, detail", "a configuration cannot be used"),
    "member:not-stored": ("detail", "the row of this node could not be written"),
    "member:removed": (
        "node",
        "a node was removed from the members, since its row is gone",
    ),
    "member:row-kept": (
        "node, detail",
        "the row of a node that left could not be deleted from the store",
    ),
    "member:row-removed": ("node", "this node deleted the row of a node that left"),
    "member:set": ("node, service", "a node is new or has changed"),
    "member:unreadable": ("key, detail", "a row does not describe a node"),
    "node:delayed": ("late_ms", "the event loop of this node was held up"),
    # `same` is false if a changed setting takes effect only after a restart.
    "node:reloaded": ("node, same", "the settings were read again"),
    "node:stopping": ("node", "a graceful stop has begun"),
    "peer:connect-error": (
        "node, detail",
        "an internal error while connecting to a node; tried again",
    ),
    # `calls` is the number of calls sent over the link that had not ended; the target
    # may have run them.
    "peer:lost": (
        "node, reason, calls",
        "a link to a node ended; its `calls` open calls may have run",
    ),
    "peer:socket-unreadable": (
        "node, detail",
        "the system did not tell what the host of a peer has acknowledged",
    ),
    # `unsent_bytes` counts what the peer's host has not acknowledged.
    "peer:suspect": (
        "node, suspect, calls, unsent_bytes",
        "a link to a node went silent, or carries data again if `suspect` is false",
    ),
    "settings:refused": ("code, detail", "the settings file cannot be used"),
    "settings:unreadable": (
        "detail",
        "the settings file could not be checked for changes",
    ),
    # An era is the time between two returns of the store to an older copy; `was` is
    # the previous one. Null: the store does not name it.
    "store:era": ("era, was", "the store names another era than before"),
    "store:era-unreadable": ("value", "the era of a response of the store is invalid"),
    "store:follow-error": (
        "table, detail",
        "an internal error while a table was followed; all rows are read again",
    ),
    # `after` is the version of the last change read, null if all rows were requested.
    "store:read-failed": (
        "table, after, waited_s, code, detail",
        "a read of a table or a wait for its changes failed",
    ),
    "store:read-overdue": (
        "table, silent_s, connected, members",
        "no node has read a table for long; this node ends its wait and reads it",
    ),
    "store:row-unreadable": (
        "table or key, detail",
        "a row breaks the store's protocol and is left out, or is not base64",
    ),
    "store:state": ("reachable, detail", "the store was lost, or is back"),
    "store:table-read": ("table, era, version, rows", "all rows of a table were read"),
    # The heartbeat contains another address than that of the target on this host.
    "target:foreign": (
        "target",
        "a heartbeat is ignored, since its address is not the target's",
    ),
    "target:late-report": (
        "target, born_ms, sequence",
        "a heartbeat is older than a known one and is ignored",
    ),
    "target:limit": (
        "target, per_s",
        "the target has begun or, if `per_s` is null, ended to limit its requests",
    ),
    "target:limit-unreadable": ("value", "the rate limit of a target is not a number"),
    "target:load-unreadable": ("value", "the load figures of a target are not numbers"),
    "target:no-figures": (
        "detail",
        "the target did not respond to a request for its load figures",
    ),
    "target:no-health": ("detail", "the target did not respond to a health check"),
    "target:not-acknowledged": (
        "target, call",
        "neither the store nor a peer has the state that the target reported",
    ),
    "target:proven": (
        "proof",
        "since the start of this process, the target has proved that it is ready",
    ),
    "target:replicated": (
        "target, state, asked, held_by",
        "peers were asked to hold a drain or leave that the store did not confirm",
    ),
    "target:report-unreadable": ("detail", "a heartbeat is invalid"),
    "target:socket-unreadable": (
        "detail",
        "the system did not tell whether a target has received all of a request",
    ),
    "target:state": (
        "target, state, born_ms, sequence",
        "the target on this host is ready, is draining or has left",
    ),
    "target:unreachable": ("target", "the target accepts no connection"),
    "task:failed": ("task, detail", "a background task ended with an internal error"),
}


def is_known_metric(name):
    """Return whether `METRICS` has the metric or a pattern that matches it."""
    return name in METRICS or f"{name.split('.')[0]}.*" in METRICS
