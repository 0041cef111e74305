"""The commands `members store`, `add`, `remove` and `replace` for the store's voters and learners.

A change is planned from the leader's table of members, and the plan is printed before the change is sent.
"""

import json
from typing import Any, Final

from cleo.helpers import argument, option

from ashlift.cli.command import ADDRESS, CliCommand
from ashlift.cli.control_client import get_json, send_command
from ashlift.cli.tables import format_table
from ashlift.errors import Failure, FailureReason

COMMAND_TIMEOUT_SECONDS: Final = 3.0
VOTER: Final = "voter"  # value of `role` in the table of members
MEMBER_COLUMNS: Final = {
    "ip": "ip",
    "role": "role",
    "leads": "leader",
    "counts": "counts",
    "leaving": "leaving",
    "behind": "behind",
    "unheard": "last contact",
    "life": "incarnation",
    "stays": "not removable",
}

MemberRow = dict[str, Any]  # a row of the leader's table of members, as JSON


def fetch_member_rows(address: str) -> list[MemberRow] | Failure:
    """Return the leader's table of members, through any core machine."""
    response = get_json(address, "/members")
    if isinstance(response, Failure):
        return response
    rows = response.get("members") if isinstance(response, dict) else None
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        return Failure(FailureReason.INVALID, f"{address}: GET /members: is no list of members")
    return rows


def member_table_lines(rows: list[MemberRow]) -> list[str]:
    """Return the table of members as lines of text."""
    return ["store", *format_table(MEMBER_COLUMNS, rows)]


def plan_member_change(rows: list[MemberRow], action: str, ip: str) -> list[str] | Failure:
    """Describe the effects of changing one member, or return why the change is rejected."""
    row = next((row for row in rows if row.get("ip") == ip), None)
    voters = sum(row.get("role") == VOTER for row in rows)
    if row is None:
        return Failure(FailureReason.INVALID, f"{ip} is neither a voter nor a learner")
    if action == "add":
        return [f"{ip} may become a voter again, once it is up to date: {voters} voters now"]
    if row.get("role") != VOTER:
        return Failure(FailureReason.INVALID, f"{ip} is no voter")
    if action == "remove" and row.get("stays"):
        return Failure(FailureReason.INVALID, f"{ip} stays: {row['stays']}")
    remaining = voters - (action == "remove")
    steps = []
    if row.get("leads"):
        steps.append(f"{ip} is the leader, and transfers leadership first")
    if action == "replace":
        steps.append(f"{ip} stays a voter until there are {voters} others")
    return [
        *steps,
        f"{ip} is a learner then, until it is switched off",
        f"{remaining} voters then, of which {remaining // 2 + 1} must be up",
    ]


class MembersStore(CliCommand):
    """`members store`."""

    name = "members store"
    description = (
        "Voters and learners of the store: who counts for the majority, who leaves, how far each is behind."
    )
    arguments = [ADDRESS]

    def handle(self) -> int:
        """Print the table."""
        rows = fetch_member_rows(self.argument("address"))
        if isinstance(rows, Failure):
            return self.print_failures([rows])
        return self.print_lines(member_table_lines(rows))


class _MemberChange(CliCommand):
    """A change of one member; without `--yes` only the plan is printed."""

    action = ""  # value of `Do` in the body of `POST /members`
    arguments = [ADDRESS, argument("ip", "The core machine's IP.")]
    options = [
        option("yes", None, "Send the change; without this option only the plan is printed.", flag=True)
    ]

    def handle(self) -> int:
        """Print the plan, and send the change if `--yes` is given."""
        address = self.argument("address")
        ip = self.argument("ip")
        rows = fetch_member_rows(address)
        if isinstance(rows, Failure):
            return self.print_failures([rows])
        plan = plan_member_change(rows, self.action, ip)
        if isinstance(plan, Failure):
            return self.print_failures([plan])
        self.print_lines([*member_table_lines(rows), "plan", *(f"  {step}" for step in plan)])
        if not self.option("yes"):
            return self.print_lines(["nothing was done: say --yes"])
        body = json.dumps({"Do": self.action, "Ip": ip}).encode()
        response = send_command(address, "POST", "/members", "", body, COMMAND_TIMEOUT_SECONDS)
        if isinstance(response, Failure):
            return self.print_failures([response])
        status, text = response
        if status != 200:
            return self.print_error(f"{status} {text}")
        return self.print_lines(["accepted: look again with `members store`"])


class MembersRemove(_MemberChange):
    """`members remove`."""

    name = "members remove"
    description = "Make a voter a learner; rejected if too few voters would be left."
    action = "remove"


class MembersReplace(_MemberChange):
    """`members replace`."""

    name = "members replace"
    description = "Make a voter a learner once another core machine votes in its place."
    action = "replace"


class MembersAdd(_MemberChange):
    """`members add`."""

    name = "members add"
    description = "Let a removed core machine become a voter again, or keep one that is leaving."
    action = "add"
