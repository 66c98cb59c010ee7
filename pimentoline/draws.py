"""pimentoline.draws: independent random numbers derived from the draw of an event.

A draw is a random 64-bit integer.
"""

__all__ = ["fraction", "mix"]

MASK = 0xFFFFFFFFFFFFFFFF


def mix(draw, salt):
    """Return a 64-bit integer from a draw; different salts give independent integers.

    One event may need several random decisions. If they used the same bits, they would
    be correlated: the calls that pass throttling would go to some targets more often
    than to others. The steps are those of the SplitMix64 generator.
    """
    word = (draw + salt * 0x9E3779B97F4A7C15) & MASK
    word = ((word ^ (word >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    word = ((word ^ (word >> 27)) * 0x94D049BB133111EB) & MASK
    return word ^ (word >> 31)


def fraction(draw, salt):
    """Return a number in [0, 1) from a draw."""
    # A float has 53 significant bits; dividing all 64 by 2**64 could round up to 1.0.
    return (mix(draw, salt) >> 11) * 2.0**-53
