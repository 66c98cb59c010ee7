"""pimentoline.twohop.weighted_round_robin: traffic shares of a route's services."""

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """Smooth weighted round robin, so that shares hold over few calls as well."""

    def __init__(self):
        self._credit = {}

    def next(self, route):
        """Return the service that the next call of a route goes to."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        credit = self._credit.setdefault((route.name, shares), [0] * len(shares))
        total = 0
        best = 0
        for number, share in enumerate(shares):
            credit[number] += share.weight
            total += share.weight
            if credit[number] > credit[best]:
                best = number
        credit[best] -= total
        return shares[best].service
