"""The commands `plan capacity`, `plan rollout` and `plan change`: they ask, and change nothing."""

from typing import Any

import attrs
from cleo.helpers import argument, option

from ashlift.cli import sources
from ashlift.cli.base import DIFFERENT, Tool, entries
from ashlift.cli.planners import Asked, Fate, Part, Recorded, Station, capacity, change, rollout
from ashlift.cli.showing import rows_of, table
from ashlift.config import operator_config
from ashlift.config.routing_table import RoutingTable
from ashlift.errors import Failure, FailureReason

EVEN = 1e-9


def status(source: str) -> Any | Failure:
    """What `GET /status` says, from a core machine or a file that kept it."""
    data = sources.read_file(source)
    answer = sources.parse_json(data, source) if isinstance(data, bytes) else sources.call(source, "/status")
    if not isinstance(answer, Failure) and not isinstance(answer, dict):
        return Failure(FailureReason.INVALID, f"{source}: is no answer of /status")
    return answer


def asks(texts: list[str], known: RoutingTable) -> dict[str, Asked] | Failure:
    """`ROUTE=RATE:WORK_MS`, each of a route of the configuration."""
    found = {}
    for text in texts:
        name, _, told = text.partition("=")
        rate, _, work = told.partition(":")
        try:
            found[name] = Asked(float(rate), float(work) / 1000)
        except ValueError:
            return Failure(FailureReason.INVALID, f"{text}: is not ROUTE=RATE:WORK_MS, such as look=158:220")
        if name not in known.routes:
            return Failure(FailureReason.INVALID, f"{name}: the configuration has no such route")
    return (
        found
        if found
        else Failure(FailureReason.INVALID, "tell with --ask ROUTE=RATE:WORK_MS what clients ask")
    )


class PlanCapacity(Tool):
    name = "plan capacity"
    description = "What workers carry after the loss of each zone and region, and who is refused."
    arguments = [argument("status", "A Control address, or a file with the answer of its /status.")]
    options = [
        option("on", None, "The configuration (file or address).", flag=False),
        option("ask", None, "ROUTE=RATE:WORK_MS, as look=158:220.", flag=False, multiple=True),
    ]

    def handle(self) -> int:
        answer = status(self.argument("status"))
        if isinstance(answer, Failure):
            return self.fail([answer])
        found = entries(self.option("on") or self.argument("status"))
        if isinstance(found, list):
            return self.fail(found)
        known = RoutingTable.from_entries(found)
        asked = asks(self.option("ask"), known)
        if isinstance(asked, Failure):
            return self.fail([asked])
        regions = {str(row.get("zone")): str(row.get("region")) for row in rows_of(answer, "gatekeepers")}
        stations = [
            Station(
                str(row["id"]),
                str(row["service"]),
                str(row["zone"]),
                regions.get(str(row["zone"]), ""),
                int(row["capacity"]),
            )
            for row in rows_of(answer, "workers")
            if row.get("state") == "ready"
        ]
        rows = [
            {
                "lost": one.lost,
                "route": one.route,
                "service": one.service,
                "workers": one.workers,
                "asked": one.asked,
                "carried": one.carried,
                "refused": max(0.0, one.refused),
            }
            for one in capacity(stations, known, asked)
        ]
        quotas = sum(tenant.rate_limit for tenant in known.tenants.values())
        open_ = sorted(name for name, tenant in known.tenants.items() if not tenant.rate_limit)
        self.tell(table(["lost", "route", "service", "workers", "asked", "carried", "refused"], rows))
        self.tell([f"quotas: {quotas:g} a second in all; no limit: {', '.join(open_) or 'nobody'}"])
        whole = [row for row in rows if row["lost"] == "nothing"]
        return DIFFERENT if any(float(str(row["refused"])) > EVEN for row in whole) else 0


class PlanRollout(Tool):
    name = "plan rollout"
    description = "In which order to replace gatekeepers, core machines or workers."
    arguments = [
        argument("status", "A Control address, or a file with the answer of its /status."),
        argument("what", "gatekeepers, core, or a service, whose workers are meant."),
    ]
    options = [option("most", None, "So many are out at most.", flag=False, default="1")]

    def handle(self) -> int:
        answer, what = status(self.argument("status")), self.argument("what")
        if isinstance(answer, Failure):
            return self.fail([answer])
        if not str(self.option("most")).isdigit():
            return self.fail([Failure(FailureReason.INVALID, "--most wants a whole number")])
        if what == "core":
            parts = [
                Part(str(row["ip"]), str(row["ip"]), "core", row["ip"] == answer.get("leader"))
                for row in rows_of(answer, "members")
            ]
        elif what == "gatekeepers":
            parts = [
                Part(str(row["node"]), str(row["zone"]), "gatekeepers")
                for row in rows_of(answer, "gatekeepers")
            ]
        else:
            parts = [
                Part(str(row["id"]), str(row["zone"]), what)
                for row in rows_of(answer, "workers")
                if row.get("service") == what
            ]
        if not parts:
            return self.fail([Failure(FailureReason.INVALID, f"{what}: there are none")])
        batches = rollout(parts, int(self.option("most")), what == "core")
        if isinstance(batches, Failure):
            return self.fail([batches])
        return self.tell([f"{number}. {', '.join(batch)}" for number, batch in enumerate(batches, 1)])


def recorded(source: str) -> list[Recorded] | Failure:
    """JSON lines with `at` (s), `host`, `path` and `key`; what else stands there is passed over."""
    data = sources.read_file(source)
    if isinstance(data, Failure):
        return data
    known, found = {one.name for one in attrs.fields(Recorded)}, []
    for number, line in enumerate(data.splitlines(), 1):
        value = sources.parse_json(line, f"{source}:{number}")
        if isinstance(value, Failure):
            return value
        try:
            row = {key: value[key] for key in known & value.keys()}
            found.append(Recorded(**{**row, "at": float(row["at"])}))
        except (TypeError, ValueError, AttributeError, KeyError):
            return Failure(
                FailureReason.INVALID,
                f"{source}:{number}: wants at (s), host, path, and key where there is one",
            )
        if not all(isinstance(text, str) for text in (found[-1].host, found[-1].path, found[-1].key)):
            return Failure(FailureReason.INVALID, f"{source}:{number}: host, path and key are texts")
    return found


def followed(current: dict[str, Any], body: Any) -> dict[str, Any] | list[Failure]:
    """The map after the change, whole or by name, or all its faults."""
    kind = "put" if isinstance(body, dict) and "Objects" in body else "patch"
    flaws = operator_config.validate_change(current, kind, body)
    made = operator_config.apply_change(current, kind, operator_config.current_version(current), body)
    if flaws or isinstance(made, Failure):
        return flaws or ([made] if isinstance(made, Failure) else [])
    return {key: value for key, value in {**current, **made.entries}.items() if key not in made.removed_keys}


class PlanChange(Tool):
    name = "plan change"
    description = "Which requests of a record would go elsewhere, be refused or be unknown after a change."
    arguments = [
        argument("config", "The new configuration, whole or by name."),
        argument("on", "The configuration (file or address) that it is to follow."),
        argument("record", "JSON lines: at, host, path, key."),
    ]

    def handle(self) -> int:
        file = self.argument("config")
        data, current = sources.read_file(file), entries(self.argument("on"))
        if isinstance(data, Failure):
            return self.fail([data])
        if isinstance(current, list):
            return self.fail(current)
        body = sources.parse_json(data, file)
        if isinstance(body, Failure):
            return self.fail([body])
        following = followed(current, body)
        if isinstance(following, list):
            return self.fail([Failure(one.reason, f"{file}: {one.detail}") for one in following])
        requests = recorded(self.argument("record"))
        if isinstance(requests, Failure):
            return self.fail([requests])
        found = change(RoutingTable.from_entries(current), RoutingTable.from_entries(following), requests)
        moved = {key: count for key, count in found.items() if key[1] != key[2]}
        rows = [
            {"route": route, "requests": count, "now": told(before), "then": told(after)}
            for (route, before, after), count in sorted(moved.items())
        ]
        self.tell(table(["route", "requests", "now", "then"], rows))
        self.tell([f"{sum(moved.values())} of {sum(found.values())} requests would fare otherwise"])
        return DIFFERENT if moved else 0


def told(fate: Fate) -> str:
    return f"goes to {', '.join(fate[1:])}" if fate[0] == "goes" else ": ".join(fate)
