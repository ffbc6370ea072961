"""Define the exception hierarchy; an error can name its processing step and peer."""


class SnipedealError(Exception):
    """Base class of all errors of the project.

    :param message: description of the error, in one sentence.
    :param step: processing step, such as ``"dispatch"``.
    :param peer: name or URL of the other side, or ``""`` if there is none.
    """

    def __init__(self, message: str, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        step_suffix = f" [step {self.step}]" if self.step else ""
        peer_suffix = f" [peer {self.peer}]" if self.peer else ""
        return f"{self.message}{step_suffix}{peer_suffix}"


class SettingsError(SnipedealError):
    """A settings file can't be read or is invalid."""


class RecordError(SnipedealError):
    """A configuration record is invalid.

    :param field: dotted path of the invalid field from the record's root.
    """

    def __init__(self, message: str, field: str = "", **context: str) -> None:
        super().__init__(message, **context)
        self.field = field


class UnknownSchemaError(RecordError):
    """A record has a schema version that this process does not support."""


class UnreadableError(SnipedealError):
    """Data that another process wrote can't be decoded."""


class MessageError(SnipedealError):
    """A message or frame from a peer can't be decoded."""


class PlatformError(SnipedealError):
    """A call to the platform's log service or VM list failed."""


class LogUnavailableError(PlatformError):
    """The log service is unreachable, timed out or returned an error status.

    An append that raises this may still have taken effect, except for
    :class:`LogBusyError`.
    """


class LogBusyError(LogUnavailableError):
    """The log service rejected a call by its rate limit, without any effect."""


class TargetError(SnipedealError):
    """A call to a target failed, or the response violates the protocol."""


class TargetLostError(TargetError):
    """The connection to a target was lost before the response was complete."""


class TargetSilentError(TargetLostError):
    """A target sent no byte of its response for some time; the request may run."""


class TargetResponseError(TargetLostError):
    """A target's response is invalid or too large; the request may have run.

    The connection is closed, and the response is not requested again.
    """


class StreamUnknownError(TargetError):
    """A target does not know the stream that should be resumed."""


class StaleOrderError(SnipedealError):
    """An order carries a fencing token older than one already seen."""
