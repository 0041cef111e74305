"""Plays a scene of configurations: calls in turn, what each must get, and what must hold after each.

A scene is a text file:
  put|patch IF_MATCH VERSION       a call; the lines under it, indented, are its objects:
      KIND NAME KEY=JSON...        an object (`-` = no name)
      gone KIND NAME               a name to withdraw
  raw put|patch IF_MATCH JSON      a call with this very body
  taken | stale | invalid WORDS    what it must get; WORDS: in the detail
  route HOST PATH NAME|none        key KEY NAME|none        objects NAME...
After every call: nothing given was changed, what was taken reads back as it was sent, a table kept up to date
is the table made anew.
"""

import json
from pathlib import Path
from typing import Any

from ashlift.config.operator_config import ConfigChange, apply_change, export_configuration
from ashlift.config.routing_table import RoutingTable
from ashlift.errors import Failure

SCENES = Path(__file__).parent.parent / "scenarios"
Json = dict[str, Any]
FOREIGN = {"Members/10.0.0.1": {}, "Evacuations/a": 1, "Taken/00000001": "d"}


class Play:
    def __init__(self) -> None:
        self.entries: Json = dict(FOREIGN)
        self.table = RoutingTable.from_entries(self.entries)

    def call(self, kind: str, if_match: str, body: Any) -> ConfigChange | Failure:
        given = json.dumps([self.entries, body])
        got = apply_change(self.entries, kind, if_match, body)
        assert json.dumps([self.entries, body]) == given, "what was given was changed"
        if isinstance(got, Failure):
            assert got.reason in ("stale", "invalid") and got.detail and "\n" not in got.detail, got
            return got
        assert (
            not got.entries.keys() & set(got.removed_keys)
            and not (got.entries.keys() | set(got.removed_keys)) & FOREIGN.keys()
        )
        self.entries = {
            key: value for key, value in self.entries.items() if key not in got.removed_keys
        } | got.entries
        self.table = self.table.updated(got.entries, got.removed_keys)
        assert self.table == RoutingTable.from_entries(self.entries)
        shown = export_configuration(self.entries)
        assert int(shown["ConfigVersion"], 16) == int(body["ConfigVersion"], 16) == self.table.version
        if kind == "put":
            assert json.dumps({**shown, "ConfigVersion": ""}) == json.dumps(
                {
                    **{key: one for key, one in body.items() if key not in ("ConfigVersion", "Objects")},
                    "ConfigVersion": "",
                    "Objects": [_ordered(one) for one in body["Objects"]],
                }
            )
        return got


def _ordered(one: Json) -> Json:
    return {key: one[key] for key in one if key != "Specification"} | {"Specification": one["Specification"]}


def play(name: str) -> int:
    """Plays the scene; gives how many things it checked."""
    now, got, checked = Play(), None, 0
    lines = [line for line in (SCENES / name).read_text().splitlines() if line.split("#")[0].strip()]
    for number, line in enumerate(lines):
        word, *rest = line.split(maxsplit=1)
        told = rest[0] if rest else ""
        if line[0] == " ":
            continue
        if word == "raw":
            kind, base, text = told.split(maxsplit=2)
            got = now.call(kind, base, json.loads(text))
        elif word in ("put", "patch"):
            base, version = told.split()
            got = now.call(word, base, _body(word, version, lines[number + 1 :]))
        else:
            checked += 1
            assert _holds(now, got, word, told), f"{name}: {line}: {got}"
    return checked


def _holds(now: Play, got: ConfigChange | Failure | None, word: str, told: str) -> bool:
    if word == "taken":
        return isinstance(got, ConfigChange)
    if word in ("stale", "invalid"):
        return isinstance(got, Failure) and got.reason == word and told in got.detail
    if word == "objects":
        shown = export_configuration(now.entries)["Objects"]
        return [one["Metadata"].get("Name", one["ObjectType"]) for one in shown] == told.split()
    if word == "route":
        host, path, name = told.split()
        route = now.table.find_route(host, path)
        return (route.name if route else "none") == name
    assert word == "key", word
    key, name = told.split()
    tenant = now.table.find_tenant(key)
    return (tenant.name if tenant else "none") == name


def _body(kind: str, version: str, lines: list[str]) -> Json:
    objects: list[Json] = []
    gone: Json = {}
    for line in lines:
        if line[0] != " ":
            break
        what, name, *fields = line.split()
        if what == "gone":
            gone.setdefault(name, []).extend(fields)
            continue
        told = {key: json.loads(text) for key, _, text in (one.partition("=") for one in fields)}
        meta = {} if name == "-" else {"Name": name}
        objects.append({"ObjectType": what, "Metadata": meta, "Specification": told})
    if kind == "put":
        return {"ConfigVersion": version, "Objects": objects}
    upsert = {"Upsert": {"Objects": objects}} if objects else {}
    return {"ConfigVersion": version, **upsert, **({"Withdraw": gone} if gone else {})}
