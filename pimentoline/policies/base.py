"""pimentoline.policies.base: contract of a policy."""

__all__ = ["Policy", "sample"]


class Policy:
    """Chooses one candidate for an attempt.

    A subclass sets `name` and gives `choose`. It keeps no state of its own: what it
    needs is in the candidates' statistics, so that decisions can be replayed.
    """

    name = ""

    def choose(self, found, service, now, draw):
        """Return one of the candidates.

        Parameters
        ----------
        found : list of Candidate
            At least one.
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


def sample(found, count, draw):
    """Return `count` different candidates, chosen by the bits of `draw`."""
    rest = list(found)
    chosen = []
    while rest and len(chosen) < count:
        draw, index = divmod(draw, len(rest))
        chosen.append(rest.pop(index))
    return chosen
