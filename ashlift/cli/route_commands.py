"""The `route` commands: edit single routes, and resolve pending edits (docs/operations/routes.md)."""

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
AUTHOR: Final = option("who", None, "The author; the default is your login name.", flag=False)
ON_VERSION: Final = option("on", None, "The version that `route proposals` showed.", flag=False)


class _RouteCommand(CliCommand):
    def author(self) -> str:
        """Return the name recorded as author of the edit or of its resolution."""
        return str(self.option("who") or getpass.getuser())

    def print_response(self, response: tuple[int, Any] | Failure, success_format: str) -> int:
        """Print the response to a POST; if the edit was applied, format its JSON with `success_format`."""
        if isinstance(response, Failure):
            return self.print_failures([response])
        status, value = response
        match status:
            case 200:
                return self.print_lines([success_format.format(**value).rstrip()])
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
        option("id", None, "The id of an edit whose outcome is unknown, to send it again.", flag=False),
        AUTHOR,
    ]

    def handle(self) -> int:
        """Read the current route, and send an edit based on it."""
        file = self.option("file")
        if bool(file) == bool(self.option("withdraw")):
            return self.print_error("either --file or --withdraw")
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
        response = post_json(address, path, body)
        if isinstance(response, Failure):  # the edit may have been accepted
            response = Failure(response.reason, f"{response.detail}; send it again with --id {edit_id}")
        return self.print_response(response, f"{edit_id}: {{outcome}}, version {{version}}")


class RouteProposals(_RouteCommand):
    """`route proposals`."""

    name = "route proposals"
    description = "The pending edits with author, base version and the reason why each is pending."
    arguments = [ADDRESS]
    options = [option("json", None, "Print the JSON response unchanged.", flag=True)]

    def handle(self) -> int:
        """Print the pending edits."""
        response = get_json_object(self.argument("address"), "/proposals")
        if isinstance(response, Failure):
            return self.print_failures([response])
        if self.option("json"):
            return self.print_lines([json.dumps(response, indent=2)])
        return self.print_lines(route_edit_output.proposal_lines(response))


class RouteConfirm(_RouteCommand):
    """`route confirm`."""

    name = "route confirm"
    description = "Apply a pending edit on top of the version that `route proposals` showed."
    resolution = "confirm"  # value of `word` in the body of `POST /proposals/ID`
    arguments = [ADDRESS, argument("id", "The edit's id, as `route proposals` shows it.")]
    options = [
        ON_VERSION,
        option("over", None, "Apply it even if the route has changed since the edit was made.", flag=True),
        AUTHOR,
    ]

    def handle(self) -> int:
        """Confirm or reject the edit."""
        version = self.option("on")
        if not version:
            return self.print_error("--on VERSION: the one that `route proposals` showed")
        body = {
            "word": self.resolution,
            "who": self.author(),
            "version": version,
            "over": self.overwrites(),
        }
        path = f"/proposals/{quote(self.argument('id'))}"
        response = post_json(self.argument("address"), path, body)
        return self.print_response(response, "{outcome} {version}")

    def overwrites(self) -> bool:
        """Return whether the edit may replace a route that has changed since the edit was made."""
        return bool(self.option("over"))


class RouteReject(RouteConfirm):
    """`route reject`."""

    name = "route reject"
    description = "Reject a pending edit for good."
    resolution = "reject"
    options = [ON_VERSION, AUTHOR]

    def overwrites(self) -> bool:
        """Return False: a rejected edit replaces nothing."""
        return False


class RouteHistory(_RouteCommand):
    """`route history`."""

    name = "route history"
    description = (
        "The outcomes of a route's edits: author, machine, time, version, and the edit that won a conflict."
    )
    arguments = [ADDRESS, argument("name", "The route's name.")]

    def handle(self) -> int:
        """Print the current route and its latest edits."""
        response = get_json_object(self.argument("address"), f"/routes/{quote(self.argument('name'))}")
        if isinstance(response, Failure):
            return self.print_failures([response])
        return self.print_lines(route_edit_output.history_lines(response))
