"""The `route` commands: edits of single routes, and pending edits (docs/operations/routes.md)."""

import getpass
import json
import secrets
from typing import Any, Final
from urllib.parse import quote

from cleo.helpers import argument, option

from ashlift.cli import route_edit_output
from ashlift.cli.command import ADDRESS, EXIT_FAILED, EXIT_PENDING, CliCommand, get_json_object
from ashlift.cli.control_client import post_json
from ashlift.cli.files import read_json_file
from ashlift.errors import Failure, FailureReason

EDIT_ID_BYTES: Final = 6
AUTHOR: Final = option("who", None, "The author; if not given, your login name.", flag=False)
ON_VERSION: Final = option("on", None, "The version that `route proposals` showed.", flag=False)


class _RouteCommand(CliCommand):
    def author(self) -> str:
        """Return who makes the edit or resolves it."""
        return str(self.option("who") or getpass.getuser())

    def print_answer(self, answer: tuple[int, Any] | Failure, done: str) -> int:
        """Print the answer to a POST; `done` is a format for the answer of an edit that is in force."""
        if isinstance(answer, Failure):
            return self.print_failures([answer])
        status, value = answer
        match status:
            case 200:
                return self.print_lines([done.format(**value).rstrip()])
            case 202:
                self.print_lines(route_edit_output.pending_lines(value))
                return EXIT_PENDING
            case 409:
                self.print_lines(route_edit_output.conflict_lines(value))
                return EXIT_PENDING
        detail = f"{status} {value.get('reason') or value.get('error')}"
        self.print_failures([Failure(FailureReason.REJECTED, detail)])
        return EXIT_PENDING if status == 412 else EXIT_FAILED


class RouteEdit(_RouteCommand):
    """`route edit`."""

    name = "route edit"
    description = "Change, add or withdraw one route; without a majority the edit is pending, not in force."
    arguments = [ADDRESS, argument("name", "The route's name.")]
    options = [
        option("file", None, "JSON: the route's Specification.", flag=False),
        option("withdraw", None, "Remove the route.", flag=True),
        option("id", None, "The id of an edit that got no clear answer, to send it again.", flag=False),
        AUTHOR,
    ]

    def handle(self) -> int:
        """Read the current route, and send the edit that builds on it."""
        file = self.option("file")
        if bool(file) == bool(self.option("withdraw")):
            return self.print_invalid("either --file or --withdraw")
        specification = read_json_file(file) if file else None
        if isinstance(specification, Failure):
            return self.print_failures([specification])
        address = self.argument("address")
        path = f"/routes/{quote(self.argument('name'))}"
        current = get_json_object(address, path)
        if isinstance(current, Failure):
            return self.print_failures([current])
        edit_id = self.option("id") or secrets.token_hex(EDIT_ID_BYTES)
        body = {"id": edit_id, "who": self.author(), "text": specification, "base": current.get("text")}
        answer = post_json(address, path, body)
        if isinstance(answer, Failure):  # it may have been accepted
            answer = Failure(answer.reason, f"{answer.detail}; send it again with --id {edit_id}")
        return self.print_answer(answer, f"{edit_id}: {{outcome}}, version {{version}}")


class RouteProposals(_RouteCommand):
    """`route proposals`."""

    name = "route proposals"
    description = "The pending edits: which, by whom, on which version, and why they are pending."
    arguments = [ADDRESS]
    options = [option("json", None, "The answer as it came.", flag=True)]

    def handle(self) -> int:
        """Print the pending edits."""
        answer = get_json_object(self.argument("address"), "/proposals")
        if isinstance(answer, Failure):
            return self.print_failures([answer])
        if self.option("json"):
            return self.print_lines([json.dumps(answer, indent=2)])
        return self.print_lines(route_edit_output.proposal_lines(answer))


class RouteConfirm(_RouteCommand):
    """`route confirm`."""

    name = "route confirm"
    description = "Put a pending edit in force, on top of the version that you were shown."
    resolution = "confirm"  # as `POST /proposals/ID` names it
    arguments = [ADDRESS, argument("id", "The edit's id, as `route proposals` shows it.")]
    options = [
        ON_VERSION,
        option("over", None, "Also if the route has changed since the edit was made.", flag=True),
        AUTHOR,
    ]

    def handle(self) -> int:
        """Send the resolution of the edit."""
        version = self.option("on")
        if not version:
            return self.print_invalid("--on VERSION: the one that `route proposals` showed")
        body = {
            "word": self.resolution,
            "who": self.author(),
            "version": version,
            "over": self.overwrites(),
        }
        path = f"/proposals/{quote(self.argument('id'))}"
        answer = post_json(self.argument("address"), path, body)
        return self.print_answer(answer, "{outcome} {version}")

    def overwrites(self) -> bool:
        """Return whether the edit replaces a route that has changed since."""
        return bool(self.option("over"))


class RouteReject(RouteConfirm):
    """`route reject`."""

    name = "route reject"
    description = "Reject a pending edit for good."
    resolution = "reject"
    options = [ON_VERSION, AUTHOR]

    def overwrites(self) -> bool:
        """A rejected edit replaces nothing."""
        return False


class RouteHistory(_RouteCommand):
    """`route history`."""

    name = "route history"
    description = "What became of a route's edits: who, where, when, which version, what they lost to."
    arguments = [ADDRESS, argument("name", "The route's name.")]

    def handle(self) -> int:
        """Print the current route and its last edits."""
        answer = get_json_object(self.argument("address"), f"/routes/{quote(self.argument('name'))}")
        if isinstance(answer, Failure):
            return self.print_failures([answer])
        return self.print_lines(route_edit_output.history_lines(answer))
