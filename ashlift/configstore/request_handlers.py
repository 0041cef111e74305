"""Handlers of the store's RPC methods, for registries and for other replicas.

Each takes the undecoded request body and returns the response body or a Failure.
"""

from collections.abc import Callable
from typing import Any

import gevent

from ashlift.configstore import codec, requests, watch
from ashlift.configstore.leader_requests import (
    LEADER_WAIT_SECONDS,
    NO_LEADER,
    READ_TIMEOUT_SECONDS,
    RETRY_INTERVAL_SECONDS,
    SUBMIT_TIMEOUT_SECONDS,
    ForwardTo,
    RoutingDecision,
    choose_route,
    may_retry,
)
from ashlift.configstore.persistent_state import Snapshot
from ashlift.configstore.replica_io import CommandSubmitted, Event, ReadRequested, RequestReceived
from ashlift.configstore.replica_runner import ReplicaRunner
from ashlift.configstore.timing import CALL_TIMEOUT_SECONDS
from ashlift.errors import Failure
from ashlift.rpc.client import ClientPool

Handler = Callable[[Any], Any]


def replica_handlers(runner: ReplicaRunner) -> dict[str, Handler]:
    """Handlers of the requests of other replicas, which the local replica serves."""

    def make_handler(method: str) -> Handler:
        return lambda body: runner.request(
            lambda reference: RequestReceived(reference, method, body), CALL_TIMEOUT_SECONDS
        )

    return {method: make_handler(method) for method in codec.METHODS}


class RegistryRequestHandler:
    """Serves the requests of registries. `port` is the port on which all replicas listen."""

    def __init__(self, runner: ReplicaRunner, clients: ClientPool, port: int) -> None:
        self._runner = runner
        self._replica = runner.replica
        self._clients = clients
        self._port = port
        self._fragmenter = watch.new_fragmenter(runner.replica)

    def handlers(self) -> dict[str, Handler]:
        """The handlers by RPC method."""
        return {
            requests.SUBMIT: self.submit,
            requests.READ: self.read,
            requests.WATCH: self.watch,
            requests.MEMBERS: self.members,
        }

    def submit(self, body: Any) -> Any:
        """Execute a command. The response is `{status, reason?, index}`."""
        request = requests.decode_submit(body)
        if isinstance(request, Failure):
            return request

        def make_event(reference: Any) -> Event:
            return CommandSubmitted(reference, request.command, request.fencing_token)

        return self._ask_leader(requests.SUBMIT, body, make_event, SUBMIT_TIMEOUT_SECONDS)

    def read(self, body: Any) -> Any:
        """The committed map, read linearizably through the leader."""
        body = body if isinstance(body, dict) else {}
        snapshot = self._ask_leader(requests.READ, body, ReadRequested, READ_TIMEOUT_SECONDS)
        return requests.encode_snapshot(snapshot) if isinstance(snapshot, Snapshot) else snapshot

    def members(self, body: Any) -> Any:
        """Show or change the membership. The response is `{status, reason?, members?}`."""
        command = requests.decode_membership(body)
        if isinstance(command, Failure):
            return command
        if command.action == requests.SHOW_MEMBERS and self._replica.leader_role is not None:
            return requests.encode_members(self._replica.leader_role.membership_table())

        def make_event(reference: Any) -> Event:
            return CommandSubmitted(reference, command)

        return self._ask_leader(requests.MEMBERS, body, make_event, SUBMIT_TIMEOUT_SECONDS)

    def watch(self, body: Any) -> Any:
        """The changes since the watcher's index, as soon as there are any or its wait time is over."""
        request = requests.decode_watch(body)
        if isinstance(request, Failure):
            return request
        clock = self._runner.clock
        deadline = clock() + request.wait_seconds
        while self._replica.committed_state.index <= request.known_index and clock() < deadline:
            if not self._runner.wait_for_commit(max(0.0, deadline - clock())):
                break
        return watch.respond(self._fragmenter, self._replica, request, clock())

    def _ask_leader(
        self, method: str, body: dict[str, Any], make_event: Callable[[Any], Event], timeout: float
    ) -> Any:
        """Serve a request through the leader, which is this replica or the one known here."""
        clock = self._runner.clock
        deadline = clock() + LEADER_WAIT_SECONDS
        response: Any = NO_LEADER
        while True:
            route = choose_route(self._replica, body, clock())
            if isinstance(route, Failure):
                return route
            if route is RoutingDecision.THIS_REPLICA:
                response = self._runner.request(make_event, timeout)
            elif isinstance(route, ForwardTo):
                client = self._clients.client((route.leader, self._port))
                response = client.call(method, requests.forwarded(body), timeout)
            if not may_retry(response, body, clock(), deadline):
                return response
            gevent.sleep(RETRY_INTERVAL_SECONDS)
