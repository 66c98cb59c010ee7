"""Policies of placement that the product's is compared with."""

from pimentoline.twohop.placement import choose, network_cost

__all__ = ["POLICIES"]


def _open(candidates, tried):
    return [
        cand
        for cand in candidates
        if cand.reachable and cand.report.accepting and cand.member.node not in tried
    ]


def _random(candidates, location, now, requirements, tried, draw):
    found = _open(candidates, tried)
    return found[int(draw * len(found))] if found else None


def _near(candidates, location, now, requirements, tried, draw):
    """Choose the nearest, of equals the one with the fewest calls of this node."""
    found = _open(candidates, tried)
    return min(
        found,
        key=lambda cand: (network_cost(location, cand.member, 0)[0], cand.in_flight),
        default=None,
    )


# name: function with the parameters of `placement.choose`
POLICIES = {"product": choose, "random": _random, "near": _near}
