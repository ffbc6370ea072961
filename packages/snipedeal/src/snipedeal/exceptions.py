"""The tree of errors; each carries the step and the peer where it arose."""


class SnipedealError(Exception):
    """Root of all errors of the project.

    :param message: what went wrong, in one sentence.
    :param step: the step of processing, such as ``"dispatch"``.
    :param peer: name of the other process, or ``""`` where there is none.
    """

    def __init__(self, message: str, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f" [step {self.step}]" if self.step else ""
        whom = f" [peer {self.peer}]" if self.peer else ""
        return f"{self.message}{where}{whom}"


class SettingsError(SnipedealError):
    """A settings file can't be read or breaks a rule."""


class RecordError(SnipedealError):
    """A configuration record is not acceptable.

    :param field: the field at fault, dotted from the record's root.
    """

    def __init__(self, message: str, field: str = "", **where: str) -> None:
        super().__init__(message, **where)
        self.field = field


class UnknownSchemaError(RecordError):
    """A record carries a schema version that this process does not know."""


class MessageError(SnipedealError):
    """A message from a peer can't be understood."""


class PlatformError(SnipedealError):
    """The platform's log service or VM list did not do what was asked."""


class LogUnavailableError(PlatformError):
    """The log service is out, slow past the time limit, or refuses load.

    An append that raises this may still have taken effect.
    """


class LogBusyError(LogUnavailableError):
    """The log service turned a call away for its rate; nothing was done."""


class EngineError(SnipedealError):
    """A target did not answer as its protocol says."""


class EngineLostError(EngineError):
    """The connection to a target broke before the answer was whole."""


class StreamUnknownError(EngineError):
    """A target does not know the stream that was to be resumed."""


class StaleOrderError(SnipedealError):
    """An order carries a fencing number older than one already seen."""
