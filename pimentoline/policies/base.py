"""pimentoline.policies.base: contract of a policy."""

__all__ = ["Policy", "min_with_random_tie", "weighted_sample"]


class Policy:
    """Chooses one candidate for an attempt.

    A subclass sets `name` and gives `choose`. It keeps no state of its own: what it
    needs is in the candidates' statistics, so that decisions can be replayed.
    """

    name = ""

    def accepts(self, cand, service, now):
        """Return whether a candidate is fit, if there are others.

        A ring without a fit candidate is passed over. By default, every candidate
        that is not ejected is fit.
        """
        return True

    def choose(self, found, service, now, draw):
        """Return one of the candidates.

        Parameters
        ----------
        found : list of Candidate
            At least one, in an order that is the same at every decision.
        service : ServiceStats
        now : float
            Monotonic time, seconds.
        draw : int
            Random 64-bit integer.

        Returns
        -------
        Candidate
        """
        raise NotImplementedError


def weighted_sample(found, count, draw):
    """Return up to `count` different candidates, with chances by their weights.

    Parameters
    ----------
    found : list of Candidate
        Each with a weight above 0.
    count : int
    draw : int
        Random 64-bit integer.

    Returns
    -------
    list of Candidate
        In the order drawn, so that the first is a weighted random choice.
    """
    rest = list(found)
    first = rest[0].weight
    even = all(cand.weight == first for cand in rest)
    chosen = []
    while rest and len(chosen) < count:
        if even:
            draw, index = divmod(draw, len(rest))
        else:
            draw, index = _weighted(rest, draw)
        chosen.append(rest.pop(index))
    return chosen


# A weighted choice takes this many bits of the draw, so 64 bits give four of them.
CHOICE_BITS = 16


def _weighted(rest, draw):
    draw, part = divmod(draw, 1 << CHOICE_BITS)
    point = part / (1 << CHOICE_BITS) * sum(cand.weight for cand in rest)
    for index, cand in enumerate(rest):
        point -= cand.weight
        if point < 0.0:
            return draw, index
    return draw, len(rest) - 1


def min_with_random_tie(found, key, draw):
    """Return a candidate with the least key; the draw breaks ties evenly."""
    start = draw % len(found)
    return min(found[start:] + found[:start], key=key)
