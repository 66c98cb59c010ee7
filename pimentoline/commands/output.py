"""pimentoline.commands.output: writes the results and errors of commands.

Results, and errors as JSON, go to standard output; errors as text go to standard error.
"""

import json
import sys

__all__ = ["Output", "as_list"]


def as_list(detail):
    """Convert the `detail` of an error response to a list if it is not one."""
    return detail if isinstance(detail, list) else [detail or "no detail"]


class Output:
    """Writes the result of a command as text or as one line of JSON.

    Parameters
    ----------
    as_json : bool
    """

    def __init__(self, as_json=False):
        self.as_json = as_json

    def write_result(self, data, lines):
        """Write the result.

        Parameters
        ----------
        data : dict
            Result as JSON data, written with `--json`.
        lines : iterable of str
            Result as text, written without `--json`.
        """
        if self.as_json:
            print(json.dumps(data))
            return
        for line in lines:
            print(line)

    def write_error(self, code, problems):
        """Write an error code with its problems.

        Parameters
        ----------
        code : str
        problems : list
            Objects whose text describes a problem. With `--json`, the code and all
            problems are written to standard output as one line of JSON; otherwise, each
            problem is written to standard error as a line with the code.
        """
        if self.as_json:
            print(json.dumps({"error": code, "problems": [str(p) for p in problems]}))
            return
        for problem in problems:
            print(f"pimentoline: {code}: {problem}", file=sys.stderr)
