"""Runs configuration scenarios: requests in order, the expected outcome of each, and checks after each.

A scenario is a text file:
  put|patch IF_MATCH VERSION       a request; the indented lines after it are its objects:
      KIND NAME KEY=JSON...        an object (`-`: without a name)
      gone KIND NAME               an object to withdraw
  raw put|patch IF_MATCH JSON      a request with a literal body
  taken | stale | invalid WORDS    the expected outcome (`taken`: accepted); WORDS must occur in the detail
  route HOST PATH NAME|none        the route found for host and path
  key KEY NAME|none                the tenant with this API key
  objects NAME...                  the names of all exported objects
After every request it is checked that the arguments were not modified, that an accepted configuration is
exported as it was sent, and that the incrementally updated routing table equals a newly built one.
"""

import json
from pathlib import Path
from typing import Any

from ashlift.config.operator_config import ConfigChange, apply_change, export_configuration
from ashlift.config.routing_table import RoutingTable
from ashlift.errors import Failure

SCENARIOS = Path(__file__).parent.parent / "scenarios"
FOREIGN_ENTRIES = {"Members/10.0.0.1": {}, "Evacuations/a": 1, "Taken/00000001": "d"}
Json = dict[str, Any]


class ConfigPlay:
    """A stored map and its routing table, to which requests are applied in order."""

    def __init__(self) -> None:
        self.entries: Json = dict(FOREIGN_ENTRIES)
        self.table = RoutingTable.from_entries(self.entries)

    def call(self, kind: str, if_match: str, body: Any) -> ConfigChange | Failure:
        given = json.dumps([self.entries, body])
        outcome = apply_change(self.entries, kind, if_match, body)
        assert json.dumps([self.entries, body]) == given, "apply_change modified its arguments"
        if isinstance(outcome, Failure):
            assert outcome.reason in ("stale", "invalid"), outcome
            assert outcome.detail, outcome
            assert "\n" not in outcome.detail, outcome
            return outcome
        self._apply(outcome)
        self._check_export(kind, body)
        return outcome

    def _apply(self, change: ConfigChange) -> None:
        removed_keys = set(change.removed_keys)
        assert not change.entries.keys() & removed_keys
        assert not (change.entries.keys() | removed_keys) & FOREIGN_ENTRIES.keys()
        remaining = {key: value for key, value in self.entries.items() if key not in removed_keys}
        self.entries = remaining | change.entries
        self.table = self.table.updated(change.entries, change.removed_keys)
        assert self.table == RoutingTable.from_entries(self.entries)

    def _check_export(self, kind: str, body: Json) -> None:
        exported = export_configuration(self.entries)
        assert int(exported["ConfigVersion"], 16) == int(body["ConfigVersion"], 16) == self.table.version
        if kind == "put":
            other_fields = {
                key: item for key, item in body.items() if key not in ("ConfigVersion", "Objects")
            }
            objects = [_in_order(item) for item in body["Objects"]]
            expected = {**other_fields, "ConfigVersion": "", "Objects": objects}
            assert json.dumps({**exported, "ConfigVersion": ""}) == json.dumps(expected)


def _in_order(config_object: Json) -> Json:
    """The object with its Specification last, the order of an export."""
    other_fields = {key: item for key, item in config_object.items() if key != "Specification"}
    return {**other_fields, "Specification": config_object["Specification"]}


def play(name: str) -> int:
    """Run the scenario and return the number of expectations checked."""
    config = ConfigPlay()
    outcome: ConfigChange | Failure | None = None
    checked = 0
    lines = [line for line in (SCENARIOS / name).read_text().splitlines() if line.split("#")[0].strip()]
    for number, line in enumerate(lines):
        if line.startswith(" "):
            continue
        verb, _, arguments = line.partition(" ")
        arguments = arguments.strip()
        if verb == "raw":
            kind, if_match, text = arguments.split(maxsplit=2)
            outcome = config.call(kind, if_match, json.loads(text))
        elif verb in ("put", "patch"):
            if_match, version = arguments.split()
            outcome = config.call(verb, if_match, _body(verb, version, lines[number + 1 :]))
        else:
            checked += 1
            assert _holds(config, outcome, verb, arguments), f"{name}: {line}: {outcome}"
    return checked


def _holds(config: ConfigPlay, outcome: ConfigChange | Failure | None, verb: str, arguments: str) -> bool:
    if verb == "taken":
        return isinstance(outcome, ConfigChange)
    if verb in ("stale", "invalid"):
        return isinstance(outcome, Failure) and outcome.reason == verb and arguments in outcome.detail
    if verb == "objects":
        objects = export_configuration(config.entries)["Objects"]
        return [item["Metadata"].get("Name", item["ObjectType"]) for item in objects] == arguments.split()
    if verb == "route":
        host, path, name = arguments.split()
        route = config.table.find_route(host, path)
        return (route.name if route else "none") == name
    assert verb == "key", verb
    key, name = arguments.split()
    tenant = config.table.find_tenant(key)
    return (tenant.name if tenant else "none") == name


def _body(kind: str, version: str, lines: list[str]) -> Json:
    """The body of a put or patch, built from the indented lines after it."""
    objects: list[Json] = []
    withdrawn: Json = {}
    for line in lines:
        if not line.startswith(" "):
            break
        object_type, name, *fields = line.split()
        if object_type == "gone":
            withdrawn.setdefault(name, []).extend(fields)
            continue
        pairs = (field.partition("=") for field in fields)
        specification = {key: json.loads(text) for key, _, text in pairs}
        metadata = {} if name == "-" else {"Name": name}
        objects.append({"ObjectType": object_type, "Metadata": metadata, "Specification": specification})
    if kind == "put":
        return {"ConfigVersion": version, "Objects": objects}
    upsert = {"Upsert": {"Objects": objects}} if objects else {}
    withdraw = {"Withdraw": withdrawn} if withdrawn else {}
    return {"ConfigVersion": version, **upsert, **withdraw}
