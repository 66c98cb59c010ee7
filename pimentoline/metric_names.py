"""pimentoline.metric_names: every metric and log entry, with units, as data."""

__all__ = ["LOG_ENTRIES", "METRICS", "is_known_metric"]

# name: (kind, unit, meaning); a name that ends with `*` stands for several.
METRICS = {
    "admin.failed": ("counter", "requests", "admin requests that ended in an error"),
    "apply.accepted": ("counter", "requests", "rules texts accepted through this node"),
    "apply.conflict": ("counter", "requests", "rules texts that lost a race"),
    "apply.unavailable": ("counter", "requests", "not written, as the store was down"),
    "apply.unknown": ("counter", "requests", "rules texts with an unknown outcome"),
    "attempts.hedged": ("counter", "attempts", "second attempts of late calls"),
    "attempts.retried": ("counter", "attempts", "attempts after a failed one"),
    "calls.*": ("counter", "calls", "calls refused by this node, by error code"),
    "claims.abandoned": ("counter", "claims", "claim outcomes that were not written"),
    "mesh.bytes_received": ("counter", "bytes", "payload received from other nodes"),
    "mesh.bytes_sent": ("counter", "bytes", "payload sent to other nodes"),
    "mesh.newer": ("counter", "messages", "messages of a newer release, ignored"),
    "mesh.records_skipped": (
        "counter",
        "records",
        "records of a newer release, ignored",
    ),
    "mesh.refused": ("counter", "messages", "malformed or unsigned messages"),
    "mesh.refuted": ("counter", "rumours", "suspicions of this node that it refuted"),
    "mesh.suspected": ("counter", "members", "members that began to be suspect"),
    "mesh.unanswered": ("counter", "messages", "requests that a peer did not answer"),
    "node.paused": ("counter", "pauses", "times that this process did not run"),
    "probes.bytes": ("counter", "bytes", "probe traffic, both ways"),
    "probes.failed": ("counter", "probes", "probes without a usable answer"),
    "probes.sent": ("counter", "probes", "probes sent to targets"),
    "rules.invalid": ("counter", "texts", "texts of peers or the store not understood"),
    "rules.older_ignored": (
        "counter",
        "texts",
        "texts not newer than the one in force",
    ),
    "store.busy": (
        "counter",
        "requests",
        "requests refused for the store's rate limit",
    ),
    "store.failed": ("counter", "requests", "store requests that were given up"),
    "store.nonsense": ("counter", "answers", "store answers outside its protocol"),
    "store.read": ("timing", "ms", "one read of the store, with its repeat"),
    "store.retried": ("counter", "requests", "reads that were sent a second time"),
    "store.write": ("timing", "ms", "one transaction of the store"),
    "targets.refused": ("counter", "announcements", "announcements of held targets"),
}

# name: (fields, meaning)
LOG_ENTRIES = {
    "mesh:dead": ("node", "a member is held for dead"),
    "node:started": ("node, data, mesh", "the node serves"),
    "node:stopped": ("node", "the node has finished every call and ends"),
    "rules:apply": (
        "result, author, attempt, base",
        "an operator applied a rules text through this node",
    ),
    "rules:in-force": ("version, source", "another rules version is in force here"),
    "store:unavailable": ("detail", "the store did not answer when it was needed"),
    "target:silent": ("target", "a target stopped renewing its announcement"),
}


def is_known_metric(name):
    """Return whether a metric is in the table."""
    return name in METRICS or f"{name.split('.')[0]}.*" in METRICS
