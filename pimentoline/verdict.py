"""pimentoline.verdict: whether a request may have run on a target."""

import enum

__all__ = ["Verdict", "combine"]


class Verdict(enum.Enum):
    """What is known about the execution of a request.

    `NOT_RUN` requires proof: no byte was written to any target, the connection was
    refused, or the target declared in its response that it did not run the request.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


# The verdict of a call is the one with the highest rank among those of its attempts.
_RANKS = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def combine(verdicts):
    """Return the verdict of a call from the verdicts of its attempts.

    Parameters
    ----------
    verdicts : iterable of Verdict
        One verdict for each attempt; empty if there was no attempt.

    Returns
    -------
    Verdict
        `NOT_RUN` only if every attempt was proven not to have run.
    """
    return max(verdicts, key=_RANKS.__getitem__, default=Verdict.NOT_RUN)
