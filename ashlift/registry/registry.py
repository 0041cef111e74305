"""What one registry knows, and what it tells: its own source, copies of others', the operator's word. Pure.

Events come in with the steady clock (`now`, s); answers and news go out. `news` rises whenever something
other than a sum has changed: whoever holds a call open looks again.
"""

from collections.abc import Mapping
from typing import Any, Final

import attrs

from ashlift.errors import Failure, FailureReason
from ashlift.registry.endpoint_directory import Looks
from ashlift.registry.load_reports import Said, Tallies
from ashlift.registry.records import GONE, GONE_SEQ, Beats, Lapsed, Session, Worker, worker
from ashlift.registry.replicated_source import SUM, Difference, Source
from ashlift.rpc.fragmentation import Cutter, Joiner
from ashlift.rpc.sources import OPERATOR_SOURCE

STORES_OWN = ("Taken", "Refused/")  # what the store keeps to know resends by: no gatekeeper needs it
BEATS: Final = 3  # a worker's lease, in heartbeats
SESSION_S: Final = 2.0  # a gatekeeper's lease from its last pull
SILENT_S: Final = 5.0  # a source that is silent for so long is dropped
GRAVE_S: Final = 30.0  # a DELETE is remembered for so long
NAMED_S: Final = 1.0  # a source heard within this is named as alive: askers count its silence from then on
EAGER_S: Final = 1.0  # a proof not older than this ends the wait of one that has none
PROOF_S: Final = 10.0  # an older proof says nothing
YOUNG_S: Final = 1.5  # a registry that has run for less may know few of those there are
ALONE_S: Final = 1.5  # others unheard for so long are out of reach
STILL_S: Final = 1.0  # no tick for so long: this process stood still, the others did not fall silent
Json = dict[str, Any]


@attrs.frozen
class Self:
    """Who this registry is. `control`: port of the outside calls, alike on all machines."""

    node: str
    incarnation: str
    ip: str
    zone: str
    region: str
    control: int
    heartbeat: float

    @property
    def source(self) -> str:
        return f"{self.node}#{self.incarnation}"


@attrs.define
class Copy:
    """Another registry's source as last heard."""

    ip: str
    zone: str
    region: str
    born: float  # steady time at which it started
    heard: float  # when the last call was sent that it answered
    source: Source = attrs.field(factory=Source)


@attrs.define
class Pulls:
    """A gatekeeper's calls: the last, those open, and the last add by incarnation."""

    at: float
    open: int = 0
    index: int = 0  # of the operator's word that it holds
    adds: dict[str, int] = attrs.field(factory=dict)


class Registry:
    def __init__(self, me: Self, seeds: list[str], zones: Mapping[str, str], now: float) -> None:
        """`seeds`: IPs, the peers until the operator's word tells the members. `zones`: zone -> region."""
        self.me, self.seeds, self.zones = me, seeds, zones
        self.news = 0
        self.own, self.word = Source(), Source()
        self.copies: dict[str, Copy] = {}  # by source
        self.leader: str | None = None
        self.term = 0
        self.proven: float | None = None  # the word held was the newest at this time
        self._began = self._awake = self._ticked = now
        self._names: dict[str, str] = {}  # IP -> its newest source
        self._callers: dict[str, float] = {}  # IPs of registries that called, and when
        self._beats: dict[str, Beats] = {}
        self._graves: dict[str, float] = {}
        self._lapsed = Lapsed()
        self._pulls: dict[str, Pulls] = {}
        self._tallies = Tallies(self.own, self._slots)
        self._looks = Looks(self.sessions)
        self._counted = -1, 0  # at which news, gatekeepers
        self._told: tuple[int, dict[str, Any]] = (-1, {})  # at which version of the word, members
        self._cutter = Cutter(me.source)
        self._joiner = Joiner()

    # ---- workers

    def beat(self, key: str, said: Worker, now: float) -> bool:
        """A worker's call; False: it came late and is not taken."""
        name = f"w/{key}"
        newest, mine, beats = self._newest(name), self.own.values.get(name), self._beats.get(key)
        last = max(newest.seq if newest else 0, beats.seq if beats else 0)
        if said.seq < last or self._lapsed.late(key, said):
            return False
        self._beats[key] = Beats(now, said.seq)
        if not (mine and newest and mine.says(said, now) and newest.says(said, now)):
            self._put(name, said)
        return True

    def leave(self, key: str, now: float) -> None:
        """A worker's DELETE."""
        name = f"w/{key}"
        known = self._newest(name) or Worker("", "0.0.0.0:1", "", 0, GONE, 0, 0.0, "")
        self._beats.pop(key, None)
        self._graves[key] = now
        if self.own.values.get(name) != (grave := attrs.evolve(known, state=GONE, seq=GONE_SEQ, until=0.0)):
            self._put(name, grave)

    def _newest(self, name: str) -> Worker | None:
        found: Worker | None = self.own.values.get(name)
        for copy in self.copies.values():
            other: Worker | None = copy.source.values.get(name)
            if other and (found is None or other.seq > found.seq):
                found = other
        return found

    def _slots(self, key: str) -> int | None:
        known = self._newest(f"w/{key}")
        return known.capacity if known is not None else None

    def workers(self) -> dict[str, Worker]:
        """All that are known, each as it last said."""
        found: dict[str, Worker] = {}
        for source in self._sources():
            for name, value in source.values.items():
                if name[0] == "w" and (name not in found or value.seq > found[name].seq):
                    found[name] = value
        return {name[2:]: value for name, value in found.items() if value.state != GONE}

    def target(self, zone: str, now: float) -> str:
        """Where a worker of `zone` had better send its beats: to a registry that stands and is near."""

        def far(place: tuple[str, str, str]) -> tuple[int, bool, str]:
            ip, its_zone, its_region = place
            return (0 if its_zone == zone else 1 if its_region == region else 2), ip != self.me.ip, ip

        here = (self.me.ip, self.me.zone, self.me.region)
        places = [here] + [
            (copy.ip, copy.zone, copy.region)
            for copy in self.copies.values()
            if now - copy.heard < STILL_S and now - copy.born > YOUNG_S
        ]
        region = next((one[2] for one in places if one[1] == zone), self.zones.get(zone))
        return f"{min(places, key=far)[0]}:{self.me.control}"

    # ---- gatekeepers

    def pull(self, body: Json, now: float) -> Failure | None:
        """A gatekeeper's call has come: its session is renewed, its adds are counted."""
        try:
            node, adds, index = (
                body["node"],
                body.get("adds") or {},
                int(dict(body["have"]).get(OPERATOR_SOURCE, 0)),
            )
            ready = bool(body["ready"]) and not body.get("leaving")
            said = Session(body["front"], body["zone"], body["region"], ready, now)
            number, counts = adds.get("number", 0), dict(adds.get("counts") or {})
            incarnation = body["incarnation"]
            figures = Said.read(body)
            fresh = [(tenant, int(total), int(declined)) for tenant, (total, declined) in counts.items()]
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            return Failure(FailureReason.INVALID, f"pull: {error!r}")
        pulls = self._pulls.setdefault(node, Pulls(now))
        pulls.at, pulls.open, pulls.index = now, pulls.open + 1, index
        if self.own.values.get(f"g/{node}") != said:
            self._put(f"g/{node}", said)
        self._tallies.said(node, figures)
        if number > pulls.adds.get(incarnation, -1):
            pulls.adds[incarnation] = number
            for tenant, total, declined in fresh:
                if total or declined:
                    old = self.own.values.get(SUM + tenant, (0, 0))
                    self.own.put(SUM + tenant, [old[0] + total, old[1] + declined])
        return None

    @property
    def callers(self) -> int:
        """How many gatekeepers have called of late."""
        return len(self._pulls)

    def pulled(self, node: str) -> None:
        """A gatekeeper's call has been answered, or is lost."""
        self._pulls[node].open -= 1

    def lacks(self, have: Mapping[str, int]) -> bool:
        """Whether somebody with this vector is to be answered at once."""
        if self.word.version and self.word.news(have.get(OPERATOR_SOURCE)):
            return True
        return any(source.news(have.get(name)) for name, source in self._named())

    def proves(self, now: float) -> bool:
        """Whether the word held is proven newest of late: what one that has no proof waits for."""
        age = self.age(now)
        return age is not None and age <= EAGER_S

    def answer(self, body: Json, began: float, now: float) -> Json:
        """What a gatekeeper is told whose call came at `began`."""
        have, found, late = body["have"], {}, False
        for name, source in self._named():
            difference = source.since(have.get(name))
            if difference:
                found[name] = self._wire(difference, now)
                if difference.full:
                    born = self.copies[name].born if name in self.copies else self._began
                    found[name]["run"] = round(now - born, 2)
        if self.word.version and (difference := self.word.since(have.get(OPERATOR_SOURCE))):
            told = found[OPERATOR_SOURCE] = self._wire(difference, now)
            if body.get("packs"):
                told = self._cutter.next(
                    have.get(OPERATOR_SOURCE), told, body.get("part"), now, "part" in body
                )
                found[OPERATOR_SOURCE] = told
            late = told["version"] < self.word.version or "part" in told
        age = self.age(now)
        alive = [name for name, one in self.copies.items() if not self._late(one.heard, NAMED_S, now)]
        return {
            "sources": found,
            "alive": [self.me.source, *alive, OPERATOR_SOURCE],
            "age": None if age is None else round(age, 4),
            "held": round(now - began, 4),
            "ran": self.ran(now),
            "late": late,
            "controls": self.controls(body["zone"], body["region"], now),
            "members": self._members(),
        }

    def ran(self, now: float) -> float:
        """s that this registry and all that it hears have run: a younger one cannot say who is absent."""
        born = [copy.born for copy in self.copies.values() if not self._late(copy.heard, NAMED_S, now)]
        return round(now - max(self._began, self._awake, *born), 2)

    def _members(self) -> int:
        """Gatekeepers with a record, counted once for each piece of news."""
        if self._counted[0] != self.news:
            names = {key for source in self._sources() for key in source.values if key[0] == "g"}
            self._counted = self.news, len(names)
        return self._counted[1]

    def sessions(self, now: float) -> dict[str, Session]:
        """Gatekeepers whose leases stand, each as it was last heard."""
        found: dict[str, Session] = {}
        for copy in self.copies.values():
            if now - max(copy.heard, self._awake) <= SESSION_S:
                for key, value in copy.source.values.items():
                    if key[0] == "g" and (key not in found or value.since > found[key].since):
                        found[key] = value
        for key, value in self.own.values.items():
            if key[0] == "g" and now - max(self._pulls[key[2:]].at, self._awake) <= SESSION_S:
                found[key] = value
        return {key[2:]: value for key, value in found.items()}

    def lookup(self, zone: str, region: str, now: float) -> list[str] | Failure:
        """Fronts for a client, near ones first; Failure (UNAVAILABLE): this registry cannot tell yet."""
        found = self._looks.addresses(zone, region, now)
        if not found or self.alone(now) or not self._settled(now):
            return Failure(FailureReason.UNAVAILABLE, "the gatekeepers are not known for sure")
        return found

    def _settled(self, now: float) -> bool:
        """Whether what this registry knows is what there is: it has run for a while, or has heard all others
        and one of those has."""
        if now - self._began >= YOUNG_S:
            return True
        heard = [copy for copy in self.copies.values() if copy.heard >= self._began]
        old = any(now - copy.born >= YOUNG_S for copy in heard)
        return old and self.peers(now) <= {copy.ip for copy in heard}

    # ---- other registries

    def members(self) -> dict[str, Any]:
        """IP -> what the operator's word says of a core member; the seeds before it is known."""
        if self._told[0] != self.word.version:
            told = {key[8:]: value for key, value in self.word.values.items() if key.startswith("Members/")}
            self._told = self.word.version, told
        return self._told[1] or dict.fromkeys(self.seeds)

    def peers(self, now: float) -> set[str]:
        """IPs of the registries to pull from: members, and who has called or answered of late."""
        late = {ip for ip, at in self._callers.items() if now - at <= SILENT_S}
        return (set(self.members()) | late | {copy.ip for copy in self.copies.values()}) - {self.me.ip}

    def alone(self, now: float) -> bool:
        """Whether this registry, counting itself, has long heard no more than half of the members: the others
        go on without it, and who can reach them had better go there."""
        members = set(self.members()) | {self.me.ip}
        heard = {copy.ip for copy in self.copies.values() if not self._late(copy.heard, ALONE_S, now)}
        return now - self._awake > ALONE_S and 2 * len(members & (heard | {self.me.ip})) <= len(members)

    def controls(self, zone: str, region: str, now: float) -> list[str]:
        """IPs of the registries for a gatekeeper: those that stand first, near ones first."""
        places = {self.me.ip: (self.me.zone, self.me.region)}
        for copy in self.copies.values():
            if now - max(copy.heard, self._awake) <= SESSION_S:
                places[copy.ip] = (copy.zone, copy.region)

        def far(ip: str) -> tuple[int, str]:
            place = places.get(ip)
            return (3 if place is None else 0 if place[0] == zone else 1 if place[1] == region else 2), ip

        return sorted(set(self.members()) | set(places), key=far)

    def ask(self, ip: str, greet: bool, now: float) -> list[Any]:
        """The body of a `swap` call to `ip`: incarnation and version held, and who asks if it may be new."""
        name = self._names.get(ip)
        copy = self.copies.get(name) if name else None
        body: list[Any] = [name.rpartition("#")[2], copy.source.version] if name and copy else ["", 0]
        return [*body, self.me.ip] if greet or not copy else body

    def asked(self, body: Any, now: float) -> tuple[str, int] | Failure:
        """A `swap` call has come: what the asker holds of this registry's source."""
        try:
            incarnation, have, *ip = body
            if ip:
                self._callers[str(ip[0])] = now
            return str(incarnation), int(have)
        except (TypeError, ValueError) as error:
            return Failure(FailureReason.INVALID, f"swap: {error!r}")

    def lacking(self, incarnation: str, have: int) -> bool:
        return incarnation != self.me.incarnation or self.own.news(have)

    def told(self, incarnation: str, have: int, now: float) -> Any:
        """The answer to a `swap` call: the version alone where nothing is new, else `[version, set, gone]`;
        of the whole `[version, set, [], node, incarnation, zone, region, s run]`."""
        difference = self.own.since(have if incarnation == self.me.incarnation else None)
        if difference is None:
            return self.own.version
        out = self._wire(difference, now)
        body = [difference.version, out["set"], out["gone"]]
        if difference.full:
            me = self.me
            body += [me.node, me.incarnation, me.zone, me.region, round(now - self._began, 2)]
        return body

    def heard(self, ip: str, answer: Any, sent: float, now: float) -> Failure | None:
        """`ip` has answered a `swap` call sent at `sent`."""
        name = self._names.get(ip, "")
        copy = self.copies.get(name)
        try:
            if isinstance(answer, int):
                if copy:
                    copy.heard = max(copy.heard, sent)
                return None
            version, values, gone, *whole = answer
            records = {key: self._record(key, value, now) for key, value in values.items()}
            if whole:
                node, incarnation, zone, region, run = whole
                name = f"{node}#{incarnation}"
                copy = self.copies.get(name) or Copy(ip, zone, region, now - run, sent)
        except (KeyError, TypeError, ValueError) as error:
            return Failure(FailureReason.INVALID, f"swap: {error!r}")
        if copy is None or version < copy.source.version:
            return None
        self._names[ip], self.copies[name] = name, copy
        copy.heard = max(copy.heard, sent)
        solid = copy.source.solid
        if whole:
            copy.source.replace(version, records)
        else:
            copy.source.merge(version, records, gone)
        if whole or copy.source.solid != solid:
            self._moved(records)
            self.news += 1
        return None

    def _moved(self, records: Mapping[str, Any]) -> None:
        """A gatekeeper that another registry has just heard of, with no call open here, has moved there."""
        for key in records:
            pulls = self._pulls.get(key[2:]) if key[0] == "g" else None
            if pulls and not pulls.open:
                self._drop(key)
                self._tallies.said(key[2:], Said())

    # ---- the operator's word

    def watches(self) -> list[Any] | None:
        """The `part` that a `watch` call is to ask for."""
        return self._joiner.asks()

    def watched(self, answer: Json, sent: float, now: float) -> bool:
        """A store has answered `watch`, called at `sent`; whether its proof is fresh, or more is to come."""
        try:
            told = self._joiner.take(answer)
        except ValueError:
            return False
        if told is None:
            return True
        answer = {**answer, **told, "index": told.get("version", answer["index"])}
        late = bool(answer.get("late"))  # what is told is not the newest that the store has: nor is it proven
        index, age = answer["index"], None if late else answer.get("age")
        if index > self.word.version:
            told = {key: value for key, value in answer["set"].items() if not key.startswith(STORES_OWN)}
            if answer.get("full"):
                self.word.replace(index, told)
            else:
                self.word.skipped(index)
                gone = [key for key in answer["gone"] if not key.startswith(STORES_OWN)]
                self.word.merge(index, told, gone)
            self.news += 1
        if answer.get("term", 0) >= self.term:
            self.term, self.leader = answer.get("term", 0), answer.get("leader")
        if age is not None and index >= self.word.version:
            if self.age(sent) is None or sent - (self.proven or 0.0) > EAGER_S:
                self.news += 1  # some wait for a proof
            proven = sent + answer.get("held", 0.0) - age
            self.proven = proven if self.proven is None else max(self.proven, proven)
        return late or (age is not None and age <= STILL_S)

    def age(self, now: float) -> float | None:
        """s since the word held was proven to be the newest; None: too long, or never."""
        return None if self.proven is None or now - self.proven > PROOF_S else now - self.proven

    # ---- time

    def tick(self, now: float) -> list[str]:
        """Let go what has lapsed; the sources that were dropped, and own ones that stood still as `""`."""
        still = now - self._ticked > STILL_S
        self._ticked = now
        if still:
            self._awake = now
        lease = BEATS * self.me.heartbeat
        for key in [key for key, one in self._beats.items() if self._late(one.at, lease, now)]:
            self._lapsed.add(key, self.own.values.get(f"w/{key}"), self._beats.pop(key).seq, now)
            self._drop(f"w/{key}")
        self._lapsed.tick(now)
        for key in [key for key, at in self._graves.items() if now - at > GRAVE_S]:
            del self._graves[key]
            self._drop(f"w/{key}")
        for node, pulls in list(self._pulls.items()):
            if self._late(pulls.at, SESSION_S, now):
                self._drop(f"g/{node}")
                self._tallies.said(node, Said())
                if now - pulls.at > GRAVE_S and not pulls.open:
                    del self._pulls[node]
        silent = [name for name, copy in self.copies.items() if self._late(copy.heard, SILENT_S, now)]
        for name in silent:
            copy = self.copies.pop(name)
            if self._names.get(copy.ip) == name:
                del self._names[copy.ip]
            self.news += 1
        self._callers = {ip: at for ip, at in self._callers.items() if now - at <= SILENT_S}
        return [""] * still + silent

    def _late(self, at: float, lease: float, now: float) -> bool:
        return now - max(at, self._awake) > lease

    # ---- for all

    def held(self, node: str, now: float) -> Json:
        """Of the operator's word, what a gatekeeper holds that calls here: known to nobody else."""
        pulls = self._pulls.get(node)
        if pulls is None or self._late(pulls.at, SESSION_S, now):
            return {}
        return {"index": pulls.index, "heard": round(now - pulls.at, 3)}

    def _sources(self) -> list[Source]:
        return [self.own, *(copy.source for copy in self.copies.values())]

    def _named(self) -> list[tuple[str, Source]]:
        return [(self.me.source, self.own), *((name, copy.source) for name, copy in self.copies.items())]

    def _put(self, key: str, value: Any) -> None:
        self.own.put(key, value)
        self.news += 1

    def _drop(self, key: str) -> None:
        if key in self.own.values:
            self.own.drop(key)
            self.news += 1

    @staticmethod
    def _record(key: str, value: Any, now: float) -> Any:
        if key[0] == "w":
            return worker(value, now)
        return Session(**value, since=now) if key[0] == "g" else value

    @staticmethod
    def _wire(difference: Difference, now: float) -> Json:
        values = {}
        for key, value in difference.set.items():
            if isinstance(value, Worker):
                value = value.wire(now)
            elif isinstance(value, Session):
                value = value.wire()
            values[key] = value
        return {
            "version": difference.version,
            "full": difference.full,
            "set": values,
            "gone": difference.gone,
        }
