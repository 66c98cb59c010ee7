"""The placement policies to compare: `product` (pimentoline's) and two baselines."""

from pimentoline.twohop.placement import choose, network_cost

__all__ = ["POLICIES"]


def _available(candidates, tried):
    return [
        candidate
        for candidate in candidates
        if candidate.reachable
        and candidate.report.accepting
        and candidate.member.node not in tried
    ]


def _random(candidates, location, now, requirements, tried, draw):
    available = _available(candidates, tried)
    return available[int(draw * len(available))] if available else None


def _nearest(candidates, location, now, requirements, tried, draw):
    """Choose the nearest node, and among equals the one with fewest calls in flight."""
    available = _available(candidates, tried)
    return min(
        available,
        key=lambda candidate: (
            # The round-trip time, which does not depend on the size (0) of the call.
            network_cost(location, candidate.member, 0)[0],
            candidate.in_flight,
        ),
        default=None,
    )


# Functions with the parameters and the result of `placement.choose`, by name.
POLICIES = {"product": choose, "random": _random, "near": _nearest}
