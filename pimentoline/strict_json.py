"""pimentoline.strict_json: decodes JSON of other programs."""

import json
import math

__all__ = ["loads"]


def _parse_float(text):
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"number {text:.20} is out of range")
    return number


def _refuse_constant(text):
    raise ValueError(f"{text} is not JSON")


def loads(text):
    """Return the decoded JSON text.

    Parameters
    ----------
    text : str or bytes

    Raises
    ------
    ValueError
        If the text is not JSON, is nested too deeply to be decoded, or has a number
        that is not finite.
    """
    try:
        return json.loads(
            text, parse_float=_parse_float, parse_constant=_refuse_constant
        )
    except RecursionError:
        raise ValueError("JSON is nested too deeply") from None
