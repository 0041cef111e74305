"""Calls to the configuration store: the local one, or that of another core member if it is unavailable."""

import time
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent.queue import Empty, Queue

from ashlift.errors import Failure, FailureReason
from ashlift.registry import codec
from ashlift.registry.messages import CommandResult, Json
from ashlift.registry.operator_request import OperatorRequest
from ashlift.registry.store_position import POSITION_REQUEST, StorePosition, stores_to_try
from ashlift.rpc.client import ClientPool

COMMAND_TIMEOUT_SECONDS: Final = 0.9  # operators' clients try the next registry after 1 s
EXTRA_TIMEOUT_SECONDS_PER_BYTE: Final = 1e-5  # of the request body; clients allow more time for large bodies
WATCH_GRACE_SECONDS: Final = 0.6  # for the response, in addition to the long poll
PENDING_EDITS_TIMEOUT_SECONDS: Final = 0.6  # for the responses of all stores, called in parallel


class StoreClient:
    """Sends commands to the stores until one gives a conclusive response; watches the configuration."""

    def __init__(
        self, local_ip: str, port: int, members: Callable[[], list[str]], clients: ClientPool
    ) -> None:
        """`port`: RPC port of the stores. `members`: returns the IPs of all stores, nearest first."""
        self._local_ip = local_ip
        self._port = port
        self._members = members
        self._clients = clients
        self._watch_clients = ClientPool()  # separate, since a timeout closes its connection
        self._watch_count = 0
        # It accepts calls without responding: its disk hangs, or the process is paused.
        self._local_store_is_unresponsive = False
        self._position = StorePosition()

    def submit(
        self,
        kind: str,
        if_match: str | None,
        body: Any,
        body_bytes: int = 0,
        not_written_before: float | None = None,
    ) -> CommandResult | Failure:
        """Execute an operator's command; returns a Failure if no store gave a conclusive response.

        `if_match`: the configuration version that the operator expects. `body_bytes`: size of the request
        body. `not_written_before`: earliest monotonic time at which the client can have written the request;
        None: now.
        """
        written_at = time.monotonic() if not_written_before is None else not_written_before
        deadline = written_at + COMMAND_TIMEOUT_SECONDS + body_bytes * EXTRA_TIMEOUT_SECONDS_PER_BYTE
        command = codec.encode_command(kind, if_match, body)
        index_at_receipt = self._position.index

        def command_with_token() -> Json:
            return self._position.with_fencing_token(command, index_at_receipt, deadline - time.monotonic())

        return _command_result(self._call_until_conclusive("submit", command_with_token, deadline))

    def read(self) -> Json | Failure:
        """The committed configuration entries by key."""
        answer = self._call_until_conclusive("read", dict, time.monotonic() + COMMAND_TIMEOUT_SECONDS)
        return answer if isinstance(answer, Failure) else codec.decode_configuration(answer)

    def members(self, action: str, ip: str) -> CommandResult | Failure:
        """List the voters and learners (`show`), or change them (`remove`, `replace`, `add`)."""
        body = codec.encode_membership_command(action, ip)
        return _command_result(
            self._call_until_conclusive("members", lambda: body, time.monotonic() + COMMAND_TIMEOUT_SECONDS)
        )

    def watch(
        self, known_index: int, wait_seconds: float, use_local_store: bool, fragment: list[Any] | None = None
    ) -> Json | Failure:
        """Fetch changes of the operator's configuration from the local store or from the next remote one.

        `fragment`: the fragment of a large configuration to fetch.
        """
        ip = self._local_ip if use_local_store else self._next_other_store()
        if ip is None:
            return Failure(FailureReason.UNREACHABLE, "there is no other store")
        client = self._watch_clients.client((ip, self._port))
        body = codec.encode_watch_request(known_index, wait_seconds, fragment)
        answer: Json | Failure = client.call("watch", body, wait_seconds + WATCH_GRACE_SECONDS)
        is_unresponsive = isinstance(answer, Failure) and answer.reason == FailureReason.OUTCOME_UNKNOWN
        if is_unresponsive:
            client.close()
        if use_local_store:
            self._local_store_is_unresponsive = is_unresponsive
        self._position.observe(answer)
        return answer

    def exchange_pending_edits(self, edits: list[Json]) -> dict[str, list[Json] | Failure]:
        """Send pending edits to all stores; returns by IP all pending edits that each store then holds."""
        body = codec.encode_pending_edits_request(edits)
        calls = {
            ip: gevent.spawn(
                self._clients.client((ip, self._port)).call, "drafts", body, PENDING_EDITS_TIMEOUT_SECONDS
            )
            for ip in dict.fromkeys([self._local_ip, *self._members()])
        }
        answers = {ip: call.get() for ip, call in calls.items()}
        return {
            ip: answer if isinstance(answer, Failure) else codec.decode_pending_edits(answer)
            for ip, answer in answers.items()
        }

    def _next_other_store(self) -> str | None:
        other_stores = [ip for ip in self._members() if ip != self._local_ip]
        if not other_stores:
            return None
        self._watch_count += 1
        return other_stores[self._watch_count % len(other_stores)]

    def _call_until_conclusive(self, method: str, body: Callable[[], Json], deadline: float) -> Any:
        """Call stores until one gives a conclusive response; otherwise returns a Failure.

        OUTCOME_UNKNOWN takes precedence over failures of calls that were not executed.
        """
        stores = stores_to_try(self._local_ip, self._members(), self._local_store_is_unresponsive)
        request = OperatorRequest(stores, time.monotonic(), deadline)
        responses = Queue[tuple[str, Any]]()

        def attempt(ip: str) -> None:
            responses.put((ip, self._call(ip, method, body, deadline)))

        attempts = []
        while wait_seconds := request.wait_seconds(time.monotonic()):
            ip = request.next_store(time.monotonic())
            if ip is not None:
                attempts.append(gevent.spawn(attempt, ip))
                continue
            try:
                answered_ip, response = responses.get(timeout=wait_seconds)
            except Empty:
                continue
            request.record_response(answered_ip, response, time.monotonic())
        gevent.killall(attempts, block=False)
        return request.outcome

    def _call(self, ip: str, method: str, body: Callable[[], Json], deadline: float) -> Any:
        """Call one store; if the fencing token has expired, retry with the store's current position."""
        client = self._clients.client((ip, self._port))
        answer = client.call(method, body(), deadline - time.monotonic())
        if isinstance(answer, Failure) and answer.reason == FailureReason.EXPIRED:
            self._position.observe(client.call("watch", POSITION_REQUEST, deadline - time.monotonic()))
            answer = client.call(method, body(), deadline - time.monotonic())
        return answer


def _command_result(answer: Any) -> CommandResult | Failure:
    return answer if isinstance(answer, Failure) else codec.decode_command_result(answer)
