"""The commands. Each gives 0, 1 where two configurations differ, and 2 where it could not do its work.

What was asked for goes to standard output, every fault in one line to standard error.
"""

import json
from typing import Any

from cleo.application import Application
from cleo.helpers import argument, option

from ashlift import __version__
from ashlift.cli import showing, sources
from ashlift.cli.base import DIFFERENT, Tool, entries
from ashlift.cli.members import MembersAdd, MembersRemove, MembersReplace, MembersStore
from ashlift.cli.planning import PlanCapacity, PlanChange, PlanRollout
from ashlift.cli.routes import COMMANDS
from ashlift.cli.tenant_commands import TenantAdd, TenantPlan, TenantRemove, TenantStatus
from ashlift.config import operator_config, settings
from ashlift.errors import Failure, FailureReason


class Check(Tool):
    name = "check"
    description = "Check a settings file (TOML) or a configuration (JSON): every fault by place and key."
    arguments = [argument("file", "The file; what begins with a brace is a configuration.")]
    options = [option("on", None, "The configuration (file or address) that it is to follow.", flag=False)]

    def handle(self) -> int:
        file, on = self.argument("file"), self.option("on")
        data = sources.read_file(file)
        if isinstance(data, Failure):
            return self.fail([data])
        if not (file.endswith(".json") or data.lstrip()[:1] == b"{"):
            found = settings.read_settings(file)
            return self.fail(found) if isinstance(found, list) else self.tell([f"{file}: settings, no fault"])
        body = sources.parse_json(data, file)
        if isinstance(body, Failure):
            return self.fail([body])
        faults = self._follow(body, on) if on else self._alone(body)
        if faults:
            return self.fail([Failure(one.reason, f"{file}: {one.detail}") for one in faults])
        return self.tell([f"{file}: configuration, no fault"])

    def _alone(self, body: Any) -> list[Failure]:
        if _is_patch(body):
            return [
                Failure(FailureReason.INVALID, "is a change by name: tell what it is to follow with --on")
            ]
        found = operator_config.load_configuration(body)
        return found if isinstance(found, list) else []

    def _follow(self, body: Any, on: str) -> list[Failure]:
        current = entries(on)
        if isinstance(current, list):
            return current
        return operator_config.validate_change(current, "patch" if _is_patch(body) else "put", body)


class Status(Tool):
    name = "status"
    description = "The state of the system, as one core machine sees it."
    arguments = [argument("address", "A Control address, such as 10.0.0.4:8200.")]
    options = [option("json", None, "The answer as it came.", flag=True)]

    def handle(self) -> int:
        return self._show(showing.status)

    def _show(self, lines: Any) -> int:
        address = self.argument("address")
        answer = sources.call(address, "/status")
        if isinstance(answer, Failure):
            return self.fail([answer])
        if not isinstance(answer, dict):
            return self.fail(
                [Failure(FailureReason.INVALID, f"{address}: GET /status: is not a JSON object")]
            )
        return self.tell([json.dumps(answer, indent=2)] if self.option("json") else lines(answer))


class Members(Status):
    name = "members"
    description = "The core machines, gatekeepers and workers, each on a line."

    def handle(self) -> int:
        return self._show(showing.members)


class ConfigShow(Tool):
    name = "config show"
    description = "The newest configuration, as JSON that can be sent again."
    arguments = [argument("address", "A Control address, such as 10.0.0.4:8200.")]

    def handle(self) -> int:
        answer = sources.call(self.argument("address"), "/config")
        if isinstance(answer, Failure):
            return self.fail([answer])
        return self.tell([json.dumps(answer, indent=2, ensure_ascii=False)])


class ConfigDiff(Tool):
    name = "config diff"
    description = "What turns one configuration into another: + there only in the second, - gone, ~ changed."
    arguments = [
        argument("first", "A file, or a Control address."),
        argument("second", "A file, or a Control address."),
    ]

    def handle(self) -> int:
        first, second = entries(self.argument("first")), entries(self.argument("second"))
        faults = [fault for found in (first, second) if isinstance(found, list) for fault in found]
        if isinstance(first, list) or isinstance(second, list):
            return self.fail(faults)
        lines = showing.differences(first, second)
        self.tell(lines)
        return DIFFERENT if lines else 0


def _is_patch(body: Any) -> bool:
    return isinstance(body, dict) and "Objects" not in body and ("Upsert" in body or "Withdraw" in body)


def application() -> Application:
    made = Application("ashlift.cli", __version__)
    looking: list[Tool] = [Check(), Status(), Members(), ConfigShow(), ConfigDiff()]
    planning: list[Tool] = [PlanCapacity(), PlanRollout(), PlanChange(), *(one() for one in COMMANDS)]
    looking += [MembersStore(), MembersRemove(), MembersReplace(), MembersAdd()]
    for command in [*looking, *planning, TenantPlan(), TenantAdd(), TenantStatus(), TenantRemove()]:
        made.add(command)
    return made


def main() -> int:
    return application().run()
