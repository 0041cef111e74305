"""Commands on single routes, and on edits that wait: docs/operations/routes.md."""

import getpass
import json
import secrets
from typing import Any, Final
from urllib.parse import quote

from cleo.helpers import argument, option

from ashlift.cli import showing, sources
from ashlift.cli.base import FAILED, Tool
from ashlift.errors import Failure, FailureReason

WAITS: Final = 3  # an edit or an order's word is not in force: it waits, or has to be looked at again
ADDRESS: Final = argument("address", "A Control address, such as 10.0.0.4:8200.")
WHO: Final = option("who", None, "Who says so; if not told, the name you are logged in under.", flag=False)


class _Route(Tool):
    def who(self) -> str:
        return str(self.option("who") or getpass.getuser())

    def look(self, path: str) -> dict[str, Any] | Failure:
        address = self.argument("address")
        answer = sources.call(address, path)
        if isinstance(answer, Failure | dict):
            return answer
        return Failure(FailureReason.INVALID, f"{address}: GET {path}: is not a JSON object")

    def said(self, answer: tuple[int, Any] | Failure, done: str) -> int:
        """Tell an answer to a POST: 0 done, 3 it waits or conflicts, 2 anything else."""
        if isinstance(answer, Failure):
            return self.fail([answer])
        status, value = answer
        if status == 200:
            return self.tell([done.format(**value).rstrip()])
        if status == 202:
            return self.tell(showing.waits(value)) or WAITS
        if status == 409:
            return self.tell(showing.both(value)) or WAITS
        why = value.get("reason") or value.get("error")
        self.fail([Failure(FailureReason.REJECTED, f"{status} {why}")])
        return WAITS if status == 412 else FAILED


class Edit(_Route):
    name = "route edit"
    description = "Change, add or withdraw one route; without a majority the edit waits and is not in force."
    arguments = [ADDRESS, argument("name", "The route's name.")]
    options = [
        option("file", None, "JSON: the route's Specification.", flag=False),
        option("withdraw", None, "Take the route out.", flag=True),
        option("id", None, "The id of an edit that got no clear answer, to ask for it again.", flag=False),
        WHO,
    ]

    def handle(self) -> int:
        file, name = self.option("file"), self.argument("name")
        if bool(file) == bool(self.option("withdraw")):
            return self.fail([Failure(FailureReason.INVALID, "either --file or --withdraw")])
        text: Any = None
        if file:
            data = sources.read_file(file)
            text = data if isinstance(data, Failure) else sources.parse_json(data, file)
            if isinstance(text, Failure):
                return self.fail([text])
        path = f"/routes/{quote(name)}"
        known = self.look(path)
        if isinstance(known, Failure):
            return self.fail([known])
        id = self.option("id") or secrets.token_hex(6)
        body = {"id": id, "who": self.who(), "text": text, "base": known.get("text")}
        answer = sources.post(self.argument("address"), path, body)
        if isinstance(answer, Failure):  # it may have been taken
            answer = Failure(answer.reason, f"{answer.detail}; ask again with --id {id}")
        return self.said(answer, f"{id}: {{outcome}}, version {{version}}")


class Proposals(_Route):
    name = "route proposals"
    description = "The edits that wait: which, by whom, on which version, and why."
    arguments = [ADDRESS]
    options = [option("json", None, "The answer as it came.", flag=True)]

    def handle(self) -> int:
        answer = self.look("/proposals")
        if isinstance(answer, Failure):
            return self.fail([answer])
        return self.tell([json.dumps(answer, indent=2)] if self.option("json") else showing.proposals(answer))


class Confirm(_Route):
    name = "route confirm"
    word = "confirm"
    description = "Put an edit that waits in force, on top of the version that you were shown."
    arguments = [ADDRESS, argument("id", "The edit's id, as `route proposals` shows it.")]
    options = [
        option("on", None, "The version that `route proposals` showed.", flag=False),
        option("over", None, "Also if the route has changed since the edit was made.", flag=True),
        WHO,
    ]

    def handle(self) -> int:
        if not self.option("on"):
            return self.fail(
                [Failure(FailureReason.INVALID, "--on VERSION: the one that `route proposals` showed")]
            )
        body = {"word": self.word, "who": self.who(), "version": self.option("on"), "over": self._over()}
        path = f"/proposals/{quote(self.argument('id'))}"
        return self.said(sources.post(self.argument("address"), path, body), "{outcome} {version}")

    def _over(self) -> bool:
        return bool(self.option("over"))


class Reject(Confirm):
    name = "route reject"
    word = "reject"
    description = "Turn an edit that waits away for good."
    options = [option("on", None, "The version that `route proposals` showed.", flag=False), WHO]

    def _over(self) -> bool:
        return False


class History(_Route):
    name = "route history"
    description = "What became of the edits of a route: who, where, when, which version, what they lost to."
    arguments = [ADDRESS, argument("name", "The route's name.")]

    def handle(self) -> int:
        answer = self.look(f"/routes/{quote(self.argument('name'))}")
        return self.fail([answer]) if isinstance(answer, Failure) else self.tell(showing.history(answer))


COMMANDS: Final = (Edit, Proposals, Confirm, Reject, History)
