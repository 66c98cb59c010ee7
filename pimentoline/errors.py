"""pimentoline.errors: exceptions with stable codes."""

__all__ = [
    "CodecError",
    "ConfigurationError",
    "NewerMessageError",
    "NodeUnavailableError",
    "PimentolineError",
    "RulesError",
    "SettingsError",
    "StoreBusyError",
    "StoreConflictError",
    "StoreEraChangedError",
    "StoreError",
    "StoreHistoryExpiredError",
    "StoreUnavailableError",
]


class PimentolineError(Exception):
    """Base class of all errors of this package.

    Parameters
    ----------
    detail : str
        Human-readable description of the error.

    Attributes
    ----------
    code : str
        Stable, machine-readable name of the error.
    """

    code = "internal"

    def __init__(self, detail):
        super().__init__(detail)
        self.detail = detail


class SettingsError(PimentolineError):
    """Flags, environment variables or a settings file are invalid.

    `problems` lists every problem.
    """

    code = "settings-invalid"

    def __init__(self, detail, problems=()):
        super().__init__(detail)
        self.problems = tuple(problems) or (detail,)


class RulesError(PimentolineError):
    """A rules text is invalid; `diagnostics` lists every problem."""

    code = "rules-invalid"

    def __init__(self, detail, diagnostics=()):
        super().__init__(detail)
        self.diagnostics = tuple(diagnostics)


class StoreError(PimentolineError):
    """The store rejected a request as invalid, or sent malformed data.

    Also the base class of all other errors of the store.

    Parameters
    ----------
    detail : str
    may_have_written : bool
        False if it is certain that a write had no effect.
    """

    code = "store-nonsense"

    def __init__(self, detail, may_have_written=True):
        super().__init__(detail)
        self.may_have_written = may_have_written


class StoreUnavailableError(StoreError):
    """The store gave no usable response; a write may have taken effect."""

    code = "store-unavailable"


class StoreBusyError(StoreUnavailableError):
    """The store refused a request because of its rate limit.

    The request was not processed.
    """

    code = "store-busy"

    def __init__(self, detail):
        super().__init__(detail, may_have_written=False)


class StoreConflictError(StoreError):
    """A conditional write failed because the row has another version.

    Parameters
    ----------
    detail : str
    version : StoreVersion
        Current version of the row; `ABSENT` if it does not exist.
    value : bytes or None
        Current value of the row, if the response contained it.
    """

    code = "store-conflict"

    def __init__(self, detail, version, value=None):
        super().__init__(detail, may_have_written=False)
        self.version = version
        self.value = value


class StoreHistoryExpiredError(StoreError):
    """The store no longer has the requested changes; the table must be read again."""

    code = "store-history"

    def __init__(self, detail):
        super().__init__(detail, may_have_written=False)


class StoreEraChangedError(StoreHistoryExpiredError):
    """The store came back from an older copy; earlier versions mean nothing now.

    A write may have taken effect, and may have been lost again.
    """

    code = "store-era-changed"

    def __init__(self, detail, may_have_written=True):
        super().__init__(detail)
        self.may_have_written = may_have_written


class ConfigurationError(PimentolineError):
    """The operator's configuration is invalid; the one in force is kept."""

    code = "configuration-invalid"


class NodeUnavailableError(PimentolineError):
    """A node gave no usable response to an operator's command.

    Parameters
    ----------
    detail : str
    sent : bool
        False if the request certainly did not reach the node.
    """

    code = "node-unavailable"

    def __init__(self, detail, sent=True):
        super().__init__(detail)
        self.sent = sent


class CodecError(PimentolineError):
    """Data is not a mesh message, or is malformed, not authenticated or too large."""

    code = "message-refused"


class NewerMessageError(CodecError):
    """A mesh message has a format that only a newer release can read."""

    code = "message-newer"
