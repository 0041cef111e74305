"""What the operator's orders make of the map. Pure."""

from collections.abc import Mapping
from typing import Any, Final

from ashlift.config import operator_config as configuration
from ashlift.configstore.messages import FencingToken, Proposal, ReadOnlyResult
from ashlift.errors import Failure, FailureReason

TAKEN: Final = "Taken/"  # + version: the mark of the call that brought it, for equal resends
TAKEN_MOST: Final = 512  # a day's changes and more
FORGOTTEN: Final = "Taken"  # the highest version whose mark is not kept any more
REFUSED: Final = "Refused/"  # + base + mark: refused before its base was current, so never to be taken
REFUSED_MOST: Final = 64
MARK: Final = 8  # bytes of a call's digest
EVACUATIONS: Final = "Evacuations/"  # + zone
ZONE_MOST: Final = 200  # characters


def decide(current: Mapping[str, Any], order: Any) -> Proposal | ReadOnlyResult:
    """`order`: `{kind, if_match, body}`. Answers: `{status, reason?}`."""
    kind, body = order.get("kind"), order.get("body")
    match kind:
        case "put" | "patch":
            return _configured(current, kind, order.get("if_match"), body)
        case "evacuate" | "restore" if isinstance(body, str) and 0 < len(body) <= ZONE_MOST:
            return _emptied(current, kind == "evacuate", EVACUATIONS + body)
        case "edit" | "confirm" | "reject" | "merge":
            return _edited(current, order)
    return ReadOnlyResult({"status": 400, "reason": f"no order: {str(kind)[:40]}"})


def read_fence(body: Any) -> FencingToken | Failure | None:
    """An order's fence. None: of a `merge`, which a store sends by itself, again and again, and whose edits
    are settled once by their ids."""
    if isinstance(body, dict) and body.get("kind") == "merge":
        return None
    try:
        term, round_, index, left = body["fence"]
        return FencingToken(int(term), int(round_), int(index), float(left))
    except (LookupError, TypeError, ValueError):
        return Failure(FailureReason.INVALID, "submit")


def _edited(current: Mapping[str, Any], order: Any) -> Proposal | ReadOnlyResult:
    from ashlift.route_reconciliation import merging as settling  # seldom needed

    made = settling.decide(current, order)
    return Proposal(*made) if made.set or made.gone else ReadOnlyResult(made.answer)


def _emptied(current: Mapping[str, Any], wanted: bool, key: str) -> Proposal | ReadOnlyResult:
    if (key in current) == wanted:
        return ReadOnlyResult({"status": 200})
    return Proposal({key: True} if wanted else {}, [] if wanted else [key], {"status": 200}, (key,))


def _configured(current: Mapping[str, Any], kind: str, if_match: Any, body: Any) -> Proposal | ReadOnlyResult:
    if_match = if_match if isinstance(if_match, str) else ""
    mark = bytes.fromhex(configuration.digest(kind, if_match, body))[:MARK]
    version = configuration.number_of(body.get("ConfigVersion") if isinstance(body, dict) else None)
    if isinstance(version, int) and mark:
        taken = current.get(f"{TAKEN}{version:08x}")
        if taken is not None and _mark(taken) == mark:
            return ReadOnlyResult({"status": 200})
        if taken is None and version <= current.get(FORGOTTEN, 0):
            why = f"version {version:08x} is too old to be told from one that was taken"
            return ReadOnlyResult({"status": 503, "reason": why})
    change = configuration.apply(current, kind, if_match, body)
    if isinstance(change, Failure) and change.reason == configuration.STALE:
        return _stale(current, if_match, mark, {"status": 412, "reason": change.detail})
    if isinstance(change, Failure):
        return ReadOnlyResult({"status": 400, "reason": change.detail})
    if f"{REFUSED}{configuration.current_version(current)}/{mark.hex()}" in current:
        return ReadOnlyResult(
            {"status": 412, "reason": "it was refused before what it builds on was current"}
        )
    # Versions only rise, so the least are the oldest.
    old = sorted(key for key in current if key.startswith(TAKEN))[: -(TAKEN_MOST - 1)]
    least = {FORGOTTEN: int(old[-1].removeprefix(TAKEN), 16)} if old else {}
    past = [key for key in current if key.startswith(REFUSED) and key < REFUSED + change.version]
    set = {**change.set, **least, TAKEN + change.version: mark}
    return Proposal(set, [*change.gone, *old, *past], {"status": 200})


def _stale(
    current: Mapping[str, Any], if_match: str, mark: bytes, answer: dict[str, Any]
) -> Proposal | ReadOnlyResult:
    """It builds on another version. What is refused must never be in force: if its base may still come, the
    refusal is kept until that has passed."""
    base, now = (configuration.number_of(one) for one in (if_match, configuration.current_version(current)))
    if not mark or not isinstance(base, int) or not isinstance(now, int) or base < now:
        return ReadOnlyResult(answer)
    key = f"{REFUSED}{base:08x}/{mark.hex()}"
    if key in current:
        return ReadOnlyResult(answer)
    if sum(one.startswith(REFUSED) for one in current) >= REFUSED_MOST:
        return ReadOnlyResult({"status": 503, "reason": f"{REFUSED_MOST} orders wait for versions to come"})
    return Proposal({key: True}, [], answer)


def _mark(taken: str | bytes) -> bytes:
    """Of a `Taken/VERSION`; earlier releases kept the whole digest as a text."""
    return bytes.fromhex(taken)[:MARK] if isinstance(taken, str) else taken
