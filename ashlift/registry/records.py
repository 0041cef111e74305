"""What the registry keeps of workers and gatekeepers, and how it reads it. Pure."""

import json
from typing import Any, Final

import attrs

from ashlift.config.durations import parse_duration
from ashlift.errors import Failure, FailureReason

READY: Final = "ready"
DRAINING: Final = "draining"
TOMBSTONE: Final = "gone"  # said by DELETE: final
TOMBSTONE_SEQ: Final = 1 << 40  # above every CallSeq, so that nothing later speaks for a worker that has left
LAPSED_S: Final = 60.0  # s that a worker whose lease has ended is remembered
ALIKE_S: Final = 0.3  # s: beats are told late by so much; an end of warming that moves by less is the same


@attrs.frozen
class WorkerRecord:
    """A worker as last heard; `until`: steady time when it is warm; `seq`: CallSeq of the call saying so."""

    service: str
    address: str
    zone: str
    capacity: int
    state: str
    seq: int
    until: float
    version: str

    def wire(self, now: float) -> dict[str, Any]:
        """The record as told to others, `warm` in s from now on."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "capacity": self.capacity,
            "state": self.state,
            "seq": self.seq,
            "warm": round(max(0.0, self.until - now), 2),
            "version": self.version,
        }

    def says(self, other: "WorkerRecord", now: float) -> bool:
        """Whether both say the same of a worker."""
        return (
            attrs.evolve(self, seq=0, until=0.0) == attrs.evolve(other, seq=0, until=0.0)
            and abs(max(self.until, now) - max(other.until, now)) <= ALIKE_S
        )


@attrs.define
class LastHeartbeat:
    """What a worker last said here."""

    at: float
    seq: int


class ExpiredWorkers:
    """Workers whose lease has ended, each as it last said: a call that comes late is told from news."""

    def __init__(self) -> None:
        self._last: dict[str, tuple[float, WorkerRecord]] = {}

    def add(self, key: str, said: WorkerRecord | None, seq: int, now: float) -> None:
        if said is not None:
            self._last[key] = now, attrs.evolve(said, seq=seq)

    def late(self, key: str, said: WorkerRecord) -> bool:
        """Whether this was said before the last word of that life; one that starts anew stands elsewhere."""
        _, last = self._last.get(key, (0.0, said))
        return said.seq < last.seq and said.address == last.address

    def tick(self, now: float) -> None:
        self._last = {key: one for key, one in self._last.items() if now - one[0] <= LAPSED_S}


def worker(record: dict[str, Any], now: float) -> WorkerRecord:
    """From another registry's record, heard now."""
    fields = dict(record)
    return WorkerRecord(until=now + fields.pop("warm"), **fields)


@attrs.frozen
class SessionRecord:
    """A gatekeeper as it says itself; `since`: steady time when this registry heard so."""

    front: str
    zone: str
    region: str
    ready: bool
    since: float = attrs.field(default=0.0, eq=False)

    def wire(self) -> dict[str, Any]:
        return {"front": self.front, "zone": self.zone, "region": self.region, "ready": self.ready}


def _refuse_constant(word: str) -> Any:
    raise ValueError(f"{word} is no JSON")


def read_json(body: bytes) -> Any:
    """The JSON value, or a Failure(FailureReason.INVALID)."""
    try:
        return json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        return Failure(FailureReason.INVALID, f"the body is no JSON: {error}")


def parse_heartbeat(body: bytes, now: float) -> WorkerRecord | Failure:
    """The worker that a beat's JSON body describes, or a Failure(FailureReason.INVALID)."""
    value = read_json(body)
    if isinstance(value, Failure):
        return value
    try:
        node, status = value["NodeInfo"], value["Status"]
        warm = parse_duration(status.get("WarmupLeft", "0ms"))
        if isinstance(warm, Failure):
            return warm
        found = WorkerRecord(
            service=node["Service"],
            address=value["Address"],
            zone=node["Zone"],
            capacity=node.get("Capacity", 1),
            state=status["State"],
            seq=status["CallSeq"],
            until=now + warm,
            version=node.get("ConfigVersion", ""),
        )
        host, _, port = found.address.rpartition(":")
        texts = (found.service, host, found.zone)
        if not all(texts) or not all(isinstance(text, str) for text in (*texts, found.version)):
            raise ValueError("Service, Address and Zone are texts")
        if not 0 < int(port) < 65536:
            raise ValueError(f"no port: {found.address}")
        if any(type(figure) is not int or figure < 0 for figure in (found.capacity, found.seq)):
            raise ValueError("Capacity and CallSeq are whole numbers")
        if found.seq >= TOMBSTONE_SEQ:
            raise ValueError("CallSeq is too high")
        if found.state not in (READY, DRAINING):
            raise ValueError(f"no State: {found.state}")
    except KeyError as error:
        return Failure(FailureReason.INVALID, f"{error.args[0]} is missing")
    except (ValueError, TypeError, AttributeError) as error:
        return Failure(FailureReason.INVALID, str(error))
    return found
