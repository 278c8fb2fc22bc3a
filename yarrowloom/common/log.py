"""Logs: one line of key=value pairs for each event."""

import logging
import sys
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter

_LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warn": logging.WARNING, "error": logging.ERROR}


def pair(*, key: str, val: object) -> str:
    """Render one pair; values with blanks or quotes are quoted.

    >>> pair(key="a", val="x y")
    'a="x y"'
    >>> pair(key="n", val=3)
    'n=3'
    """
    txt = str(val)
    if txt == "" or any(ch in txt for ch in ' "=\n'):
        txt = '"' + txt.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'
    return f"{key}={txt}"


class PairFormatter(BaseJsonFormatter):
    """python-json-logger's record handling with key=value output in place of JSON."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the line."""
        return " ".join(pair(key=k, val=v) for k, v in log_data.items() if v is not None)


class Log:
    """A named source of events; fields given at construction stand in each line."""

    def __init__(self, *, name: str, level: str = "info") -> None:
        self._log = logging.getLogger(f"yarrowloom.{name}")
        self._log.propagate = False
        self._log.setLevel(_LEVELS[level])
        if not self._log.handlers:
            handler = logging.StreamHandler(sys.stdout)
            handler.setFormatter(
                PairFormatter(
                    "{levelname}{message}", style="{", rename_fields={"levelname": "level", "message": "event"}
                )
            )
            self._log.addHandler(handler)

    def info(self, event: str, **fields: object) -> None:
        """Something an operator may want to know."""
        if self._log.isEnabledFor(logging.INFO):
            self._log.info(event, extra=fields)

    def warn(self, event: str, **fields: object) -> None:
        """Something an operator should look at."""
        self._log.warning(event, extra=fields)

    def debug(self, event: str, **fields: object) -> None:
        """Detail for tracing."""
        if self._log.isEnabledFor(logging.DEBUG):
            self._log.debug(event, extra=fields)
