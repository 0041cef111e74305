"""What the operator's orders make of the map. Pure."""

from collections.abc import Mapping
from typing import Any, Final

from jig import configuration
from vise.interface import Settled, Work
from workbench.faults import Fault

TAKEN: Final = "Taken/"  # + version: the digest of the call that brought it, for equal resends
TAKEN_MOST: Final = 64
EVACUATIONS: Final = "Evacuations/"  # + zone
ZONE_MOST: Final = 200  # characters


def decide(current: Mapping[str, Any], order: Any) -> Work | Settled:
    """`order`: `{kind, if_match, body}`. Answers: `{status, reason?}`."""
    kind, body = order.get("kind"), order.get("body")
    match kind:
        case "put" | "patch":
            return _configured(current, kind, order.get("if_match"), body)
        case "evacuate" | "restore" if isinstance(body, str) and 0 < len(body) <= ZONE_MOST:
            return _emptied(current, kind == "evacuate", EVACUATIONS + body)
        case "edit" | "confirm" | "reject" | "merge":
            return _edited(current, order)
    return Settled({"status": 400, "reason": f"no order: {str(kind)[:40]}"})


def _edited(current: Mapping[str, Any], order: Any) -> Work | Settled:
    from mitre import settling  # seldom needed

    made = settling.decide(current, order)
    return Work(*made) if made.set or made.gone else Settled(made.answer)


def _emptied(current: Mapping[str, Any], wanted: bool, key: str) -> Work | Settled:
    if (key in current) == wanted:
        return Settled({"status": 200})
    return Work({key: True}, [], {"status": 200}) if wanted else Work({}, [key], {"status": 200})


def _configured(current: Mapping[str, Any], kind: str, if_match: Any, body: Any) -> Work | Settled:
    if_match = if_match if isinstance(if_match, str) else ""
    version = configuration.number_of(body.get("ConfigVersion") if isinstance(body, dict) else None)
    if isinstance(version, int):
        taken = current.get(f"{TAKEN}{version:08x}")
        if taken and taken == configuration.digest(kind, if_match, body):
            return Settled({"status": 200})
    change = configuration.apply(current, kind, if_match, body)
    if isinstance(change, Fault):
        status = 412 if change.reason == configuration.STALE else 400
        return Settled({"status": status, "reason": change.detail})
    # Versions only rise, so the least are the oldest.
    old = sorted(key for key in current if key.startswith(TAKEN))[: -(TAKEN_MOST - 1)]
    return Work({**change.set, TAKEN + change.version: change.digest}, [*change.gone, *old], {"status": 200})
