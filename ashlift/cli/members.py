"""Who votes and learns in the store, and the operator's changes of that, with a plan shown first."""

import json
from typing import Any

from cleo.helpers import argument, option

from ashlift.cli import showing, sources
from ashlift.cli.base import Tool
from ashlift.errors import Failure, FailureReason

WAIT_S = 3.0


def table(address: str) -> list[dict[str, Any]] | Failure:
    """The leader's view, as one core machine passes it on."""
    answer = sources.call(address, "/members")
    if isinstance(answer, Failure):
        return answer
    rows = answer.get("members") if isinstance(answer, dict) else None
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        return Failure(FailureReason.INVALID, f"{address}: GET /members: is no list of members")
    return rows


def lines(rows: list[dict[str, Any]]) -> list[str]:
    keys = ("ip", "role", "leads", "counts", "leaving", "behind", "unheard", "life", "stays")
    return ["store", *showing.table(keys, rows)]


def plan(rows: list[dict[str, Any]], do: str, ip: str) -> list[str] | Failure:
    """What would come of it, in words; a Failure: why it is refused."""
    row = next((row for row in rows if row.get("ip") == ip), None)
    voters = [one["ip"] for one in rows if one.get("role") == "voter"]
    if row is None:
        return Failure(FailureReason.INVALID, f"{ip} is neither a voter nor a learner")
    if do == "add":
        return [f"{ip} may vote again, once it holds all: {len(voters)} voters now"]
    if row.get("role") != "voter":
        return Failure(FailureReason.INVALID, f"{ip} is no voter")
    if do == "remove" and row.get("stays"):
        return Failure(FailureReason.INVALID, f"{ip} stays: {row['stays']}")
    handed = [f"{ip} leads, and hands the lead on first"] if row.get("leads") else []
    waits = [f"{ip} votes on until {len(voters)} others do"] if do == "replace" else []
    left = len(voters) - (do == "remove")
    return [
        *handed,
        *waits,
        f"{ip} votes no more, and learns on until it is switched off",
        f"{left} voters then, of whom {left // 2 + 1} must be up",
    ]


class _Change(Tool):
    do = ""
    arguments = [
        argument("address", "A Control address, such as 10.0.0.4:8200."),
        argument("ip", "The core machine's IP."),
    ]
    options = [option("yes", None, "Do it; else the plan alone is shown.", flag=True)]

    def handle(self) -> int:
        address, ip = self.argument("address"), self.argument("ip")
        rows = table(address)
        if isinstance(rows, Failure):
            return self.fail([rows])
        planned = plan(rows, self.do, ip)
        if isinstance(planned, Failure):
            return self.fail([planned])
        self.tell([*lines(rows), "plan", *(f"  {line}" for line in planned)])
        if not self.option("yes"):
            return self.tell(["nothing was done: say --yes"])
        body = json.dumps({"Do": self.do, "Ip": ip}).encode()
        answer = sources.order(address, "POST", "/members", "", body, WAIT_S)
        if isinstance(answer, Failure):
            return self.fail([answer])
        status, words = answer
        if status != 200:
            return self.fail([Failure(FailureReason.INVALID, f"{status} {words}")])
        return self.tell(["taken: look again with `members store`"])


class MembersStore(Tool):
    name = "members store"
    description = "Voters and learners of the store: who counts, who leaves, how far each is behind."
    arguments = [argument("address", "A Control address, such as 10.0.0.4:8200.")]

    def handle(self) -> int:
        rows = table(self.argument("address"))
        return self.fail([rows]) if isinstance(rows, Failure) else self.tell(lines(rows))


class MembersRemove(_Change):
    name = "members remove"
    description = "Take a core machine's vote; refused where too few would be left."
    do = "remove"


class MembersReplace(_Change):
    name = "members replace"
    description = "Take a core machine's vote once a new one has taken its place."
    do = "replace"


class MembersAdd(_Change):
    name = "members add"
    description = "Let a core machine vote again that was taken off, or keep one that leaves."
    do = "add"
