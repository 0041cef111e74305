"""The faults that can end a stream, and their effects."""

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

from ashlift.gatekeeper.admission.interface import Result


@dataclass(frozen=True, slots=True)
class FaultEffects:
    """Effects of a fault."""

    name: str
    status: HTTPStatus | None  # of the response if none has begun, else that is cut short; None: no response
    result: Result  # of the attempt if its request was written completely, else it was not run


class Fault(Enum):
    """Why a stream ended. The labels are stable: they appear in the log and in `streams.failed.*` metrics."""

    CLIENT_DISCONNECTED = FaultEffects("client_left", None, Result.CANCELLED)
    CLIENT_STALLED = FaultEffects("client_stalled", HTTPStatus.REQUEST_TIMEOUT, Result.CANCELLED)
    CLIENT_SLOW = FaultEffects("client_slow", HTTPStatus.REQUEST_TIMEOUT, Result.CANCELLED)
    CLIENT_MALFORMED = FaultEffects("client_spoilt", HTTPStatus.BAD_REQUEST, Result.CANCELLED)
    REQUEST_TOO_LONG = FaultEffects("request_too_long", HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Result.CANCELLED)
    NODE_STALLED = FaultEffects("node_stalled", HTTPStatus.GATEWAY_TIMEOUT, Result.TIMEOUT)
    NODE_SLOW = FaultEffects("node_slow", HTTPStatus.GATEWAY_TIMEOUT, Result.TIMEOUT)
    HEAD_TIMEOUT = FaultEffects("head_late", HTTPStatus.GATEWAY_TIMEOUT, Result.TIMEOUT)
    NODE_RESET = FaultEffects("node_reset", HTTPStatus.BAD_GATEWAY, Result.RESET)
    NODE_MALFORMED = FaultEffects("node_spoilt", HTTPStatus.BAD_GATEWAY, Result.RESET)
    NODE_ERROR = FaultEffects("node_error", HTTPStatus.BAD_GATEWAY, Result.ERROR)
    RESPONSE_TOO_LONG = FaultEffects("answer_too_long", HTTPStatus.BAD_GATEWAY, Result.RESET)
    TOTAL_TIMEOUT = FaultEffects("overtime", HTTPStatus.GATEWAY_TIMEOUT, Result.CANCELLED)
    SHUTDOWN = FaultEffects("shutdown", HTTPStatus.SERVICE_UNAVAILABLE, Result.CANCELLED)
    WITHDRAWN = FaultEffects("withdrawn", HTTPStatus.BAD_GATEWAY, Result.CANCELLED)
    # Not failures: the rest of the request body is not needed.
    EARLY_RESPONSE = FaultEffects("early_answer", None, Result.OK)
    FINISHED = FaultEffects("answered", None, Result.CANCELLED)

    @property
    def label(self) -> str:
        return self.value.name


class AbortedError(Exception):
    """The transfer of a body was aborted; carries the fault."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.label)
        self.fault = fault
