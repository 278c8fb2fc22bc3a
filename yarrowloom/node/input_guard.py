"""The boundary of a process: input of others, whatever it is, gets an answer or a log event and ends no process.

Malformed input is told apart from errors of this program. The one error that passes through is `StateInDoubtError`:
a process that does not know what it holds of a group's state must not go on serving it.
"""

import traceback
from collections.abc import Callable

from ..common.errors import StateInDoubtError, YarrowError
from ..common.log import Log
from ..transport.http_messages import Request, Response
from ..transport.message_kinds import LANES, Kind, Lane
from .http_errors import error_answer
from .input_scheduler import Input

CLIENT_ERRORS = range(400, 500)  # statuses that tell a caller that its request was at fault
INTERNAL_ERROR = 500
_MALFORMED_MESSAGE_ERRORS = (KeyError, IndexError, AttributeError, TypeError, ValueError)


def _origin(error: BaseException) -> str:
    """Where an error was raised: file and line."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].filename.rpartition('/')[2]}:{frames[-1].lineno}" if frames else ""


def _call_name(request: Request) -> str:
    return f"{request.method} {request.path}"


class InputGuard:
    """Runs the handlers of input from other processes.

    Args:
        log: Where errors are told.
        close_connection: Ends the connection on which a node's frames of a lane come.
    """

    def __init__(self, *, log: Log, close_connection: Callable[[str, Lane], None]) -> None:
        self._log = log
        self._close_connection = close_connection

    def run_request(self, *, request: Request, run: Input, respond: Callable[[Response], None]) -> None:
        """Handle an HTTP request: 400 or the like if it is malformed, 500 if this program fails.

        Raises:
            StateInDoubtError: The process must end.
        """
        try:
            run()
        except StateInDoubtError:
            raise
        except Exception as error:
            respond(self.error_response(request=request, error=error))

    def error_response(self, *, request: Request, error: Exception) -> Response:
        """The response to a request whose handler raised, which is logged."""
        if isinstance(error, YarrowError) and error.status in CLIENT_ERRORS:
            status, document = error_answer(error=error)
            self._log.warn("request-malformed", call=_call_name(request), why=repr(error))
            return Response.of(status, document)
        self._log.warn("request-failed", call=_call_name(request), why=repr(error), at=_origin(error))
        return Response.of(INTERNAL_ERROR, {"error": "internal"})

    def run_message(self, *, node_id: str, kind: Kind, run: Input) -> None:
        """Handle a message of another node. A malformed one ends its connection; the node connects again.

        Raises:
            StateInDoubtError: The process must end.
        """
        try:
            run()
        except StateInDoubtError:
            raise
        except _MALFORMED_MESSAGE_ERRORS as error:
            self._log.warn("frame-malformed", kind=kind.name, peer=node_id, why=repr(error))
            self._close_connection(node_id, LANES[kind])
        except Exception as error:
            self._log.warn("message-failed", kind=kind.name, peer=node_id, why=repr(error), at=_origin(error))
