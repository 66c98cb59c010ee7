"""pimentoline.twohop.weighted_round_robin: splits a route's calls between services."""

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """Smooth weighted round robin, which follows the weights even over few calls."""

    def __init__(self):
        self._current_weights = {}

    def next_service(self, route):
        """Return the service for the next call of a route."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        current = self._current_weights.setdefault(
            (route.name, shares), [0] * len(shares)
        )
        total = 0
        best = 0
        for index, share in enumerate(shares):
            current[index] += share.weight
            total += share.weight
            if current[index] > current[best]:
                best = index
        current[best] -= total
        return shares[best].service
