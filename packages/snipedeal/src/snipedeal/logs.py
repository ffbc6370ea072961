"""Configure ``absl.logging`` to write JSON lines."""

import json
import logging as std_logging
import sys

import attrs
from absl import logging

#: ``absl`` verbosity by the level name used in settings.
LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class JsonFormatter(std_logging.Formatter):
    """Format each log record as a JSON object on one line.

    :param process: name of the process, included in every line.
    """

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the JSON line for a log record."""
        line = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "process": self._process,
            "message": record.getMessage(),
        }
        event = getattr(record, "event", None)
        if event is not None:
            fields = attrs.asdict(event)
            line.update(
                request=fields["request"],
                event=event.name,
                clock=[event.wall_ms, event.counter],
                fields=fields["fields"],
            )
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def set_up_logs(process: str, level: str) -> None:
    """Write all logs of a process to standard error as JSON lines.

    :param process: name of the process.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.setFormatter(JsonFormatter(process))
    logging.set_verbosity(LEVELS[level])
    for name in ("uvicorn.access", "uvicorn.error", "asyncio", "falcon"):
        std_logging.getLogger(name).setLevel(std_logging.WARNING)


def level_names() -> list[str]:
    """Return the level names allowed in settings."""
    return list(LEVELS)
