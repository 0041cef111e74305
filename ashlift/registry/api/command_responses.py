"""From a store's result of an operator's command to the HTTP response, and its line in the log."""

from ashlift.errors import Failure, FailureReason
from ashlift.events import log_event
from ashlift.registry import events
from ashlift.registry.api.messages import HttpResponse, error_response
from ashlift.registry.api.resource import RETRY_AFTER_SECONDS
from ashlift.registry.messages import CommandResult


def outcome_unknown_response(failure: Failure) -> HttpResponse:
    """The operator is to ask again: the command may have been executed or not."""
    return error_response(503, f"no clear answer: {failure.reason}", RETRY_AFTER_SECONDS)


def log_command(kind: str, result: CommandResult) -> None:
    """Log one line a command, with what the operator receives."""
    log_event(
        events.COMMAND_ANSWERED,
        kind=kind,
        status=result.status,
        index=result.config_index,
        reason=result.reason,
    )


def command_response(kind: str, result: CommandResult | Failure) -> HttpResponse:
    """The response to a change of the configuration, which is logged."""
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
