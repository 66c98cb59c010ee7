"""pimentoline.probing: load probes of targets, within the probe budget of the region.

A probe requests a target's load endpoint. The nodes of a region divide its budget
into equal shares without coordination: each node uses one share, and the number of
shares is at least the number of nodes that it knows of.

`on_tick` and `on_probe_ended` return the new state and a tuple of effects;
`record_call` returns only the state.
"""

from immutables import Map

from .draws import fraction, mix
from .effects import IncrementCounter, SendProbe
from .fast_replace import replace
from .model import ServiceStats, TargetStats
from .traffic_stats import load_report_changes

__all__ = ["MAX_PROBE_BYTES", "on_probe_ended", "on_tick", "record_call"]

# Targets with a load report of at most this age are not probed.
FRESH_REPORT_S = 0.5
# Targets of services without a call for this time are not probed.
DEMAND_WINDOW_S = 2.0
# A node that joins must be counted by the others before it spends its share, or the
# shares in use would add up to more than the budget.
JOIN_WAIT_S = 10.0
# A longer time between two ticks means that this node was paused. It may have missed
# that others joined, so it waits like a node that joins, and loses its share of the
# budget for the time of the pause.
MIN_PAUSE_S = 2.0
# Limits of a probe's request and response in bytes. The prober closes a connection that
# receives more than the response limit, so that a target cannot make a probe use more
# than the MAX_PROBE_BYTES that are reserved when it is sent.
MAX_REQUEST_BYTES = 256
MAX_RESPONSE_BYTES = 1024
# TCP/IP headers of a connection with one small request and response: 11 packets with
# headers of 40 to 60 bytes.
PACKET_HEADER_BYTES = 600
MAX_PROBE_BYTES = MAX_REQUEST_BYTES + MAX_RESPONSE_BYTES + PACKET_HEADER_BYTES
# Targets with a longer load path are not probed, so that requests stay within
# MAX_REQUEST_BYTES.
MAX_LOAD_PATH_CHARS = 128
# If `last_probed` has more entries, it is cleared, so that targets that no longer exist
# do not fill the memory. Far above the number of targets.
MAX_LAST_PROBED_ENTRIES = 4096


def record_call(state, event):
    """Record that a service was called, which makes its targets eligible for probes."""
    service = event.call.req.service
    if service not in state.mesh.by_service:
        # Callers may send any service name, so unknown ones are not stored.
        return state
    probing = state.probing
    last_called = probing.last_called.set(service, event.now)
    return replace(state, probing=replace(probing, last_called=last_called))


def count_shares(state, budget):
    """Return the number of shares that the budget of this region is divided into.

    It is the number of nodes known in the region, or `planned_nodes` if this is larger.
    Records of dead members are kept for an hour and count as well, so that the nodes on
    both sides of a partition keep the shares that they had before.
    """
    own = state.identity
    others = sum(
        record.region == own.region and record.node_id != own.node_id
        for record in state.mesh.members.values()
    )
    return max(budget.planned_nodes, others + 1)


def on_tick(state, event):
    """Send the probes that have fallen due since the last tick.

    Probes that are not sent when they fall due are dropped. Otherwise idle nodes would
    accumulate them and all probe at once when calls arrive.
    """
    now, probing = event.now, state.probing
    last = probing.last_tick
    if last is None or now - last > MIN_PAUSE_S:
        probing = replace(
            probing,
            last_tick=now,
            joined_at=now,
            # A random number, so that the probes of nodes that start at the same time
            # fall due at different times. `event.draw` is a random integer, and the
            # second argument a salt for independent numbers from the same draw.
            due_fraction=fraction(event.draw, 1),
            free_bytes=0.0,
        )
        return replace(state, probing=probing), ()
    budget = state.rules.ruleset.probe_budget(state.identity.region)
    shares = count_shares(state, budget)
    elapsed_s = now - last
    due_fraction, probes = _accrue_probes(
        probing.due_fraction, budget.probes_per_s / shares, elapsed_s
    )
    bytes_per_s = budget.bytes_per_s / shares
    # Unused bytes accumulate up to this node's share for one second, or up to the bytes
    # of one probe if these are more.
    free_bytes = min(
        probing.free_bytes + bytes_per_s * elapsed_s,
        max(float(MAX_PROBE_BYTES), bytes_per_s),
    )
    probing = replace(
        probing, last_tick=now, due_fraction=due_fraction, free_bytes=free_bytes
    )
    state = replace(state, probing=probing)
    probes = min(probes, int(free_bytes // MAX_PROBE_BYTES))
    if probes < 1 or now - probing.joined_at < JOIN_WAIT_S or state.stopping:
        return state, ()
    stale = _stale_targets(state, now, event.draw)[:probes]
    return _send_probes(state, stale, now)


def _accrue_probes(due, probes_per_s, elapsed_s):
    """Return the remaining fraction of a probe, and the number of whole probes due.

    `due` is the fraction that remained at the last tick.
    """
    due += probes_per_s * elapsed_s
    whole = int(due)
    # After a late tick, at most the probes of one second are due.
    return due - whole, min(whole, max(1, int(probes_per_s)))


def _stale_targets(state, now, draw):
    """Return the targets without a recent load report.

    The one whose last load report or probe is the oldest comes first.
    """
    probing, candidates = state.probing, []
    for service, called_at in probing.last_called.items():
        if now - called_at > DEMAND_WINDOW_S:
            continue
        for target in _targets_in_use(state, service):
            target_id = target.target_id
            stats = state.traffic.targets.get(target_id) or TargetStats()
            if (
                now - stats.reported_at > FRESH_REPORT_S
                and target_id not in probing.in_flight
                and len(target.load_path) <= MAX_LOAD_PATH_CHARS
            ):
                # A target that never responds goes to the end of the order after each
                # probe, so that it does not keep others from being probed.
                probed_at = probing.last_probed.get(target_id, float("-inf"))
                checked_at = max(stats.reported_at, probed_at)
                # Targets with equal times are sorted at random.
                candidates.append((checked_at, mix(draw, len(candidates)), target))
    candidates.sort(key=lambda item: item[:2])
    return [target for _, _, target in candidates]


def _targets_in_use(state, service):
    """Yield the targets in the locality rings that a service uses at present.

    The locality rings of a node are its data centre, the rest of its region and other
    regions. Each release (a version with a canary rule, or all other versions together)
    has its own rings. Ejected targets are included.
    """
    plan = state.traffic.plan
    route = plan.routes.get(service) if plan is not None else None
    if route is None:
        return
    stats = state.traffic.services.get(service) or ServiceStats()
    for release in route.releases:
        for ring in release.rings[: stats.widest_ring + 1]:
            for target, _ in ring:
                yield target


def _send_probes(state, targets, now):
    """Send a probe to each target, and reserve MAX_PROBE_BYTES for it."""
    probing, effects = state.probing, []
    if len(probing.last_probed) > MAX_LAST_PROBED_ENTRIES:
        probing = replace(probing, last_probed=Map())
    for target in targets:
        target_id = target.target_id
        effects.append(SendProbe(target_id, target.addr, target.load_path))
        probing = replace(
            probing,
            last_probed=probing.last_probed.set(target_id, now),
            in_flight=probing.in_flight | {target_id},
            free_bytes=probing.free_bytes - MAX_PROBE_BYTES,
        )
    if effects:
        effects.append(IncrementCounter("probes.sent", len(effects)))
    return replace(state, probing=probing), tuple(effects)


def on_probe_ended(state, event):
    """Record the reported load, and release the bytes that the probe did not use."""
    probing, target_id = state.probing, event.target_id
    used = event.sent_bytes + event.received_bytes + PACKET_HEADER_BYTES
    probing = replace(
        probing,
        in_flight=probing.in_flight - {target_id},
        free_bytes=probing.free_bytes + MAX_PROBE_BYTES - used,
    )
    state = replace(state, probing=probing)
    effects = (IncrementCounter("probes.bytes", used),)
    if event.load is None:
        return state, effects + (IncrementCounter("probes.failed"),)
    traffic = state.traffic
    stats = traffic.targets.get(target_id) or TargetStats()
    stats = replace(stats, **load_report_changes(stats.inflight, event.load, event.now))
    traffic = replace(traffic, targets=traffic.targets.set(target_id, stats))
    return replace(state, traffic=traffic), effects
