"""Logs: one line of key=value pairs for each event."""

import logging
import sys
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter

_LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warn": logging.WARNING, "error": logging.ERROR}


def pair(*, key: str, value: object) -> str:
    """Render one pair; values with blanks or quotes are quoted.

    >>> pair(key="a", value="x y")
    'a="x y"'
    >>> pair(key="n", value=3)
    'n=3'
    """
    text = str(value)
    if text == "" or any(char in text for char in ' "=\n'):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        text = f'"{escaped}"'
    return f"{key}={text}"


class PairFormatter(BaseJsonFormatter):
    """python-json-logger's record handling with key=value output in place of JSON."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """The line of one event; fields without a value are left out."""
        return " ".join(pair(key=key, value=value) for key, value in log_data.items() if value is not None)


class Log:
    """Logs events under one name. An event is a noun and a verb in kebab-case; its details are fields."""

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
        """Log what an operator may want to know."""
        if self._log.isEnabledFor(logging.INFO):
            self._log.info(event, extra=fields)

    def warn(self, event: str, **fields: object) -> None:
        """Log what an operator should look at."""
        self._log.warning(event, extra=fields)

    def debug(self, event: str, **fields: object) -> None:
        """Log a detail for tracing."""
        if self._log.isEnabledFor(logging.DEBUG):
            self._log.debug(event, extra=fields)
