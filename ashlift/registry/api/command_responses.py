"""HTTP responses and log events for the results of operators' commands."""

from ashlift.errors import Failure, FailureReason
from ashlift.events import log_event
from ashlift.registry import events
from ashlift.registry.api.messages import HttpResponse, error_response
from ashlift.registry.api.resource import RETRY_AFTER_SECONDS
from ashlift.registry.messages import CommandResult


def outcome_unknown_response(failure: Failure) -> HttpResponse:
    """503: the command may or may not have been executed, and the operator should retry."""
    return error_response(503, f"no clear answer: {failure.reason}", RETRY_AFTER_SECONDS)


def log_command(kind: str, result: CommandResult) -> None:
    """Log the result that the operator receives."""
    log_event(
        events.COMMAND_ANSWERED,
        kind=kind,
        status=result.status,
        index=result.config_index,
        reason=result.reason,
    )


def command_response(kind: str, result: CommandResult | Failure) -> HttpResponse:
    """Log the result of a configuration change, and convert it to the response."""
    if isinstance(result, Failure):
        log_event(events.COMMAND_ANSWERED, kind=kind, error=result)
        if result.reason == FailureReason.INVALID:
            return error_response(413, result.detail)  # too large for an RPC frame: it was not sent
        return outcome_unknown_response(result)
    log_command(kind, result)
    if result.status == 200:
        return HttpResponse(200, {})
    retry_after_seconds = RETRY_AFTER_SECONDS if result.status == 503 else None
    return error_response(result.status, result.reason, retry_after_seconds)
