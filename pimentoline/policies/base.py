"""pimentoline.policies.base: base class of the load-balancing policies."""

__all__ = ["Policy", "min_with_random_tie", "weighted_sample"]


class Policy:
    """Chooses the target of an attempt from the candidates.

    A subclass sets `name` and implements `choose`. It keeps no state of its own and
    decides by its arguments only, so that decisions can be replayed.
    """

    name = ""

    def accepts(self, candidate, service, now):
        """Return False if a candidate should be used only when no better one is left.

        The targets of a service form locality rings around the node: its data centre,
        its region, other regions. A ring without an accepted candidate is skipped, but
        only a part of the first attempts leaves the region for this reason. The
        candidates do not include ejected targets; by default, all are accepted. The
        parameters are those of `choose`.
        """
        return True

    def choose(self, candidates, service, now, draw):
        """Return one of the candidates.

        Parameters
        ----------
        candidates : list of Candidate
            At least one, always in the same order.
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


def weighted_sample(candidates, count, draw):
    """Return up to `count` distinct candidates, drawn in proportion to their weights.

    Parameters
    ----------
    candidates : list of Candidate
        Each with a weight above 0.
    count : int
    draw : int
        Random 64-bit integer.

    Returns
    -------
    list of Candidate
        In the order drawn, so that the first one is a weighted random choice.
    """
    remaining = list(candidates)
    first_weight = remaining[0].weight
    equal_weights = all(candidate.weight == first_weight for candidate in remaining)
    chosen = []
    while remaining and len(chosen) < count:
        if equal_weights:
            # The quotient is the random number for the further choices.
            draw, index = divmod(draw, len(remaining))
        else:
            draw, index = _weighted_index(remaining, draw)
        chosen.append(remaining.pop(index))
    return chosen


# Random bits of the draw that one weighted choice uses up; the 64 bits of a draw are
# enough for four choices.
BITS_PER_CHOICE = 16


def _weighted_index(candidates, draw):
    """Return the unused bits of the draw and the index of a candidate."""
    draw, choice_bits = divmod(draw, 1 << BITS_PER_CHOICE)
    point = (
        choice_bits
        / (1 << BITS_PER_CHOICE)
        * sum(candidate.weight for candidate in candidates)
    )
    for index, candidate in enumerate(candidates):
        point -= candidate.weight
        if point < 0.0:
            return draw, index
    # Rounding errors may leave `point` at 0 or above.
    return draw, len(candidates) - 1


def min_with_random_tie(candidates, key, draw):
    """Return a candidate with the smallest key; ties are broken at random by `draw`."""
    start = draw % len(candidates)
    return min(candidates[start:] + candidates[:start], key=key)
