"""What one registry knows, and what it tells: its own source, copies of others', the operator's word. Pure.

Events come in with the steady clock (`now`, s); answers and news go out. `news` rises whenever something
other than a sum has changed: whoever holds a call open looks again.
"""

from collections.abc import Mapping
from typing import Any, Final

import attrs

from ashlift.errors import Failure, FailureReason
from ashlift.registry.endpoint_directory import EndpointDirectory
from ashlift.registry.load_reports import LoadReport, LoadReports
from ashlift.registry.records import (
    TOMBSTONE,
    TOMBSTONE_SEQ,
    ExpiredWorkers,
    LastHeartbeat,
    SessionRecord,
    WorkerRecord,
    worker,
)
from ashlift.registry.replicated_source import SUM, Delta, ReplicatedSource
from ashlift.rpc.fragmentation import Fragmenter, Reassembler
from ashlift.rpc.sources import OPERATOR_SOURCE

STORES_OWN = ("Taken", "Refused/")  # what the store keeps to know resends by: no gatekeeper needs it
BEATS: Final = 3  # a worker's lease, in heartbeats
SESSION_S: Final = 2.0  # a gatekeeper's lease from its last pull
SILENT_S: Final = 5.0  # a source that is silent for so long is dropped
TOMBSTONE_SECONDS: Final = 30.0  # a DELETE is remembered for so long
NAMED_S: Final = 1.0  # a source heard within this is named as alive: askers count its silence from then on
EAGER_S: Final = 1.0  # a proof not older than this ends the wait of one that has none
PROOF_S: Final = 10.0  # an older proof says nothing
YOUNG_S: Final = 1.5  # a registry that has run for less may know few of those there are
ALONE_S: Final = 1.5  # others unheard for so long are out of reach
STILL_S: Final = 1.0  # no tick for so long: this process stood still, the others did not fall silent
Json = dict[str, Any]


@attrs.frozen
class RegistryIdentity:
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
class PeerReplica:
    """Another registry's source as last heard."""

    ip: str
    zone: str
    region: str
    born: float  # steady time at which it started
    heard: float  # when the last call was sent that it answered
    source: ReplicatedSource = attrs.field(factory=ReplicatedSource)


@attrs.define
class ProxySession:
    """A gatekeeper's calls: the last, those open, and the last add by incarnation."""

    at: float
    open: int = 0
    index: int = 0  # of the operator's word that it holds
    adds: dict[str, int] = attrs.field(factory=dict)


class Registry:
    def __init__(self, me: RegistryIdentity, seeds: list[str], zones: Mapping[str, str], now: float) -> None:
        """`seeds`: IPs, the peers until the operator's word tells the members. `zones`: zone -> region."""
        self.identity, self.seeds, self.zones = me, seeds, zones
        self.change_count = 0
        self.own_source, self.operator_config = ReplicatedSource(), ReplicatedSource()
        self.peers: dict[str, PeerReplica] = {}  # by source
        self.leader: str | None = None
        self.term = 0
        self.proven_at: float | None = None  # the word held was the newest at this time
        self._began = self._awake = self._ticked = now
        self._names: dict[str, str] = {}  # IP -> its newest source
        self._callers: dict[str, float] = {}  # IPs of registries that called, and when
        self._beats: dict[str, LastHeartbeat] = {}
        self._graves: dict[str, float] = {}
        self._lapsed = ExpiredWorkers()
        self._pulls: dict[str, ProxySession] = {}
        self._tallies = LoadReports(self.own_source, self._slots)
        self._looks = EndpointDirectory(self.live_sessions)
        self._counted = -1, 0  # at which news, gatekeepers
        self._told: tuple[int, dict[str, Any]] = (-1, {})  # at which version of the word, members
        self._cutter = Fragmenter(me.source)
        self._joiner = Reassembler()

    # ---- workers

    def record_heartbeat(self, key: str, said: WorkerRecord, now: float) -> bool:
        """A worker's call; False: it came late and is not taken."""
        name = f"w/{key}"
        newest, mine, beats = self._newest(name), self.own_source.values.get(name), self._beats.get(key)
        last = max(newest.seq if newest else 0, beats.seq if beats else 0)
        if said.seq < last or self._lapsed.late(key, said):
            return False
        self._beats[key] = LastHeartbeat(now, said.seq)
        if not (mine and newest and mine.says(said, now) and newest.says(said, now)):
            self._put(name, said)
        return True

    def deregister_worker(self, key: str, now: float) -> None:
        """A worker's DELETE."""
        name = f"w/{key}"
        known = self._newest(name) or WorkerRecord("", "0.0.0.0:1", "", 0, TOMBSTONE, 0, 0.0, "")
        self._beats.pop(key, None)
        self._graves[key] = now
        if self.own_source.values.get(name) != (
            grave := attrs.evolve(known, state=TOMBSTONE, seq=TOMBSTONE_SEQ, until=0.0)
        ):
            self._put(name, grave)

    def _newest(self, name: str) -> WorkerRecord | None:
        found: WorkerRecord | None = self.own_source.values.get(name)
        for copy in self.peers.values():
            other: WorkerRecord | None = copy.source.values.get(name)
            if other and (found is None or other.seq > found.seq):
                found = other
        return found

    def _slots(self, key: str) -> int | None:
        known = self._newest(f"w/{key}")
        return known.capacity if known is not None else None

    def workers(self) -> dict[str, WorkerRecord]:
        """All that are known, each as it last said."""
        found: dict[str, WorkerRecord] = {}
        for source in self._sources():
            for name, value in source.values.items():
                if name[0] == "w" and (name not in found or value.seq > found[name].seq):
                    found[name] = value
        return {name[2:]: value for name, value in found.items() if value.state != TOMBSTONE}

    def heartbeat_target(self, zone: str, now: float) -> str:
        """Where a worker of `zone` had better send its beats: to a registry that stands and is near."""

        def far(place: tuple[str, str, str]) -> tuple[int, bool, str]:
            ip, its_zone, its_region = place
            return (0 if its_zone == zone else 1 if its_region == region else 2), ip != self.identity.ip, ip

        here = (self.identity.ip, self.identity.zone, self.identity.region)
        places = [here] + [
            (copy.ip, copy.zone, copy.region)
            for copy in self.peers.values()
            if now - copy.heard < STILL_S and now - copy.born > YOUNG_S
        ]
        region = next((one[2] for one in places if one[1] == zone), self.zones.get(zone))
        return f"{min(places, key=far)[0]}:{self.identity.control}"

    # ---- gatekeepers

    def begin_pull(self, body: Json, now: float) -> Failure | None:
        """A gatekeeper's call has come: its session is renewed, its adds are counted."""
        try:
            node, adds, index = (
                body["node"],
                body.get("adds") or {},
                int(dict(body["have"]).get(OPERATOR_SOURCE, 0)),
            )
            ready = bool(body["ready"]) and not body.get("leaving")
            said = SessionRecord(body["front"], body["zone"], body["region"], ready, now)
            number, counts = adds.get("number", 0), dict(adds.get("counts") or {})
            incarnation = body["incarnation"]
            figures = LoadReport.read(body)
            fresh = [(tenant, int(total), int(declined)) for tenant, (total, declined) in counts.items()]
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            return Failure(FailureReason.INVALID, f"pull: {error!r}")
        pulls = self._pulls.setdefault(node, ProxySession(now))
        pulls.at, pulls.open, pulls.index = now, pulls.open + 1, index
        if self.own_source.values.get(f"g/{node}") != said:
            self._put(f"g/{node}", said)
        self._tallies.said(node, figures)
        if number > pulls.adds.get(incarnation, -1):
            pulls.adds[incarnation] = number
            for tenant, total, declined in fresh:
                if total or declined:
                    old = self.own_source.values.get(SUM + tenant, (0, 0))
                    self.own_source.put(SUM + tenant, [old[0] + total, old[1] + declined])
        return None

    @property
    def session_count(self) -> int:
        """How many gatekeepers have called of late."""
        return len(self._pulls)

    def end_pull(self, node: str) -> None:
        """A gatekeeper's call has been answered, or is lost."""
        self._pulls[node].open -= 1

    def has_updates_for(self, have: Mapping[str, int]) -> bool:
        """Whether somebody with this vector is to be answered at once."""
        if self.operator_config.version and self.operator_config.has_significant_change_since(
            have.get(OPERATOR_SOURCE)
        ):
            return True
        return any(source.has_significant_change_since(have.get(name)) for name, source in self._named())

    def has_fresh_lease(self, now: float) -> bool:
        """Whether the word held is proven newest of late: what one that has no proof waits for."""
        age = self.lease_age(now)
        return age is not None and age <= EAGER_S

    def pull_response(self, body: Json, began: float, now: float) -> Json:
        """What a gatekeeper is told whose call came at `began`."""
        have, found, late = body["have"], {}, False
        for name, source in self._named():
            difference = source.delta_since(have.get(name))
            if difference:
                found[name] = self._wire(difference, now)
                if difference.full:
                    born = self.peers[name].born if name in self.peers else self._began
                    found[name]["run"] = round(now - born, 2)
        if self.operator_config.version and (
            difference := self.operator_config.delta_since(have.get(OPERATOR_SOURCE))
        ):
            told = found[OPERATOR_SOURCE] = self._wire(difference, now)
            if body.get("packs"):
                told = self._cutter.next_message(
                    have.get(OPERATOR_SOURCE), told, body.get("part"), now, "part" in body
                )
                found[OPERATOR_SOURCE] = told
            late = told["version"] < self.operator_config.version or "part" in told
        age = self.lease_age(now)
        alive = [name for name, one in self.peers.items() if not self._late(one.heard, NAMED_S, now)]
        return {
            "sources": found,
            "alive": [self.identity.source, *alive, OPERATOR_SOURCE],
            "age": None if age is None else round(age, 4),
            "held": round(now - began, 4),
            "ran": self.uptime(now),
            "late": late,
            "controls": self.registries_by_distance(body["zone"], body["region"], now),
            "members": self._members(),
        }

    def uptime(self, now: float) -> float:
        """s that this registry and all that it hears have run: a younger one cannot say who is absent."""
        born = [copy.born for copy in self.peers.values() if not self._late(copy.heard, NAMED_S, now)]
        return round(now - max(self._began, self._awake, *born), 2)

    def _members(self) -> int:
        """Gatekeepers with a record, counted once for each piece of news."""
        if self._counted[0] != self.change_count:
            names = {key for source in self._sources() for key in source.values if key[0] == "g"}
            self._counted = self.change_count, len(names)
        return self._counted[1]

    def live_sessions(self, now: float) -> dict[str, SessionRecord]:
        """Gatekeepers whose leases stand, each as it was last heard."""
        found: dict[str, SessionRecord] = {}
        for copy in self.peers.values():
            if now - max(copy.heard, self._awake) <= SESSION_S:
                for key, value in copy.source.values.items():
                    if key[0] == "g" and (key not in found or value.since > found[key].since):
                        found[key] = value
        for key, value in self.own_source.values.items():
            if key[0] == "g" and now - max(self._pulls[key[2:]].at, self._awake) <= SESSION_S:
                found[key] = value
        return {key[2:]: value for key, value in found.items()}

    def lookup(self, zone: str, region: str, now: float) -> list[str] | Failure:
        """Fronts for a client, near ones first; Failure (UNAVAILABLE): this registry cannot tell yet."""
        found = self._looks.addresses(zone, region, now)
        if not found or self.is_isolated(now) or not self._settled(now):
            return Failure(FailureReason.UNAVAILABLE, "the gatekeepers are not known for sure")
        return found

    def _settled(self, now: float) -> bool:
        """Whether what this registry knows is what there is: it has run for a while, or has heard all others
        and one of those has."""
        if now - self._began >= YOUNG_S:
            return True
        heard = [copy for copy in self.peers.values() if copy.heard >= self._began]
        old = any(now - copy.born >= YOUNG_S for copy in heard)
        return old and self.peer_ips(now) <= {copy.ip for copy in heard}

    # ---- other registries

    def core_members(self) -> dict[str, Any]:
        """IP -> what the operator's word says of a core member; the seeds before it is known."""
        if self._told[0] != self.operator_config.version:
            told = {
                key[8:]: value
                for key, value in self.operator_config.values.items()
                if key.startswith("Members/")
            }
            self._told = self.operator_config.version, told
        return self._told[1] or dict.fromkeys(self.seeds)

    def peer_ips(self, now: float) -> set[str]:
        """IPs of the registries to pull from: members, and who has called or answered of late."""
        late = {ip for ip, at in self._callers.items() if now - at <= SILENT_S}
        return (set(self.core_members()) | late | {copy.ip for copy in self.peers.values()}) - {
            self.identity.ip
        }

    def is_isolated(self, now: float) -> bool:
        """Whether this registry, counting itself, has long heard no more than half of the members: the others
        go on without it, and who can reach them had better go there."""
        members = set(self.core_members()) | {self.identity.ip}
        heard = {copy.ip for copy in self.peers.values() if not self._late(copy.heard, ALONE_S, now)}
        return now - self._awake > ALONE_S and 2 * len(members & (heard | {self.identity.ip})) <= len(members)

    def registries_by_distance(self, zone: str, region: str, now: float) -> list[str]:
        """IPs of the registries for a gatekeeper: those that stand first, near ones first."""
        places = {self.identity.ip: (self.identity.zone, self.identity.region)}
        for copy in self.peers.values():
            if now - max(copy.heard, self._awake) <= SESSION_S:
                places[copy.ip] = (copy.zone, copy.region)

        def far(ip: str) -> tuple[int, str]:
            place = places.get(ip)
            return (3 if place is None else 0 if place[0] == zone else 1 if place[1] == region else 2), ip

        return sorted(set(self.core_members()) | set(places), key=far)

    def swap_request(self, ip: str, greet: bool, now: float) -> list[Any]:
        """The body of a `swap` call to `ip`: incarnation and version held, and who asks if it may be new."""
        name = self._names.get(ip)
        copy = self.peers.get(name) if name else None
        body: list[Any] = [name.rpartition("#")[2], copy.source.version] if name and copy else ["", 0]
        return [*body, self.identity.ip] if greet or not copy else body

    def receive_swap_request(self, body: Any, now: float) -> tuple[str, int] | Failure:
        """A `swap` call has come: what the asker holds of this registry's source."""
        try:
            incarnation, have, *ip = body
            if ip:
                self._callers[str(ip[0])] = now
            return str(incarnation), int(have)
        except (TypeError, ValueError) as error:
            return Failure(FailureReason.INVALID, f"swap: {error!r}")

    def has_updates_for_peer(self, incarnation: str, have: int) -> bool:
        return incarnation != self.identity.incarnation or self.own_source.has_significant_change_since(have)

    def swap_response(self, incarnation: str, have: int, now: float) -> Any:
        """The answer to a `swap` call: the version alone where nothing is new, else `[version, set, gone]`;
        of the whole `[version, set, [], node, incarnation, zone, region, s run]`."""
        difference = self.own_source.delta_since(have if incarnation == self.identity.incarnation else None)
        if difference is None:
            return self.own_source.version
        out = self._wire(difference, now)
        body = [difference.version, out["set"], out["gone"]]
        if difference.full:
            me = self.identity
            body += [me.node, me.incarnation, me.zone, me.region, round(now - self._began, 2)]
        return body

    def receive_swap_response(self, ip: str, answer: Any, sent: float, now: float) -> Failure | None:
        """`ip` has answered a `swap` call sent at `sent`."""
        name = self._names.get(ip, "")
        copy = self.peers.get(name)
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
                copy = self.peers.get(name) or PeerReplica(ip, zone, region, now - run, sent)
        except (KeyError, TypeError, ValueError) as error:
            return Failure(FailureReason.INVALID, f"swap: {error!r}")
        if copy is None or version < copy.source.version:
            return None
        self._names[ip], self.peers[name] = name, copy
        copy.heard = max(copy.heard, sent)
        solid = copy.source.last_significant_version
        if whole:
            copy.source.replace(version, records)
        else:
            copy.source.merge(version, records, gone)
        if whole or copy.source.last_significant_version != solid:
            self._moved(records)
            self.change_count += 1
        return None

    def _moved(self, records: Mapping[str, Any]) -> None:
        """A gatekeeper that another registry has just heard of, with no call open here, has moved there."""
        for key in records:
            pulls = self._pulls.get(key[2:]) if key[0] == "g" else None
            if pulls and not pulls.open:
                self._drop(key)
                self._tallies.said(key[2:], LoadReport())

    # ---- the operator's word

    def wanted_fragment(self) -> list[Any] | None:
        """The `part` that a `watch` call is to ask for."""
        return self._joiner.wanted_fragment()

    def receive_watch_response(self, answer: Json, sent: float, now: float) -> bool:
        """A store has answered `watch`, called at `sent`; whether its proof is fresh, or more is to come."""
        try:
            told = self._joiner.add(answer)
        except ValueError:
            return False
        if told is None:
            return True
        answer = {**answer, **told, "index": told.get("version", answer["index"])}
        late = bool(answer.get("late"))  # what is told is not the newest that the store has: nor is it proven
        index, age = answer["index"], None if late else answer.get("age")
        if index > self.operator_config.version:
            told = {key: value for key, value in answer["set"].items() if not key.startswith(STORES_OWN)}
            if answer.get("full"):
                self.operator_config.replace(index, told)
            else:
                self.operator_config.note_skipped_versions(index)
                gone = [key for key in answer["gone"] if not key.startswith(STORES_OWN)]
                self.operator_config.merge(index, told, gone)
            self.change_count += 1
        if answer.get("term", 0) >= self.term:
            self.term, self.leader = answer.get("term", 0), answer.get("leader")
        if age is not None and index >= self.operator_config.version:
            if self.lease_age(sent) is None or sent - (self.proven_at or 0.0) > EAGER_S:
                self.change_count += 1  # some wait for a proof
            proven = sent + answer.get("held", 0.0) - age
            self.proven_at = proven if self.proven_at is None else max(self.proven_at, proven)
        return late or (age is not None and age <= STILL_S)

    def lease_age(self, now: float) -> float | None:
        """s since the word held was proven to be the newest; None: too long, or never."""
        return None if self.proven_at is None or now - self.proven_at > PROOF_S else now - self.proven_at

    # ---- time

    def tick(self, now: float) -> list[str]:
        """Let go what has lapsed; the sources that were dropped, and own ones that stood still as `""`."""
        still = now - self._ticked > STILL_S
        self._ticked = now
        if still:
            self._awake = now
        lease = BEATS * self.identity.heartbeat
        for key in [key for key, one in self._beats.items() if self._late(one.at, lease, now)]:
            self._lapsed.add(key, self.own_source.values.get(f"w/{key}"), self._beats.pop(key).seq, now)
            self._drop(f"w/{key}")
        self._lapsed.tick(now)
        for key in [key for key, at in self._graves.items() if now - at > TOMBSTONE_SECONDS]:
            del self._graves[key]
            self._drop(f"w/{key}")
        for node, pulls in list(self._pulls.items()):
            if self._late(pulls.at, SESSION_S, now):
                self._drop(f"g/{node}")
                self._tallies.said(node, LoadReport())
                if now - pulls.at > TOMBSTONE_SECONDS and not pulls.open:
                    del self._pulls[node]
        silent = [name for name, copy in self.peers.items() if self._late(copy.heard, SILENT_S, now)]
        for name in silent:
            copy = self.peers.pop(name)
            if self._names.get(copy.ip) == name:
                del self._names[copy.ip]
            self.change_count += 1
        self._callers = {ip: at for ip, at in self._callers.items() if now - at <= SILENT_S}
        return [""] * still + silent

    def _late(self, at: float, lease: float, now: float) -> bool:
        return now - max(at, self._awake) > lease

    # ---- for all

    def session_progress(self, node: str, now: float) -> Json:
        """Of the operator's word, what a gatekeeper holds that calls here: known to nobody else."""
        pulls = self._pulls.get(node)
        if pulls is None or self._late(pulls.at, SESSION_S, now):
            return {}
        return {"index": pulls.index, "heard": round(now - pulls.at, 3)}

    def _sources(self) -> list[ReplicatedSource]:
        return [self.own_source, *(copy.source for copy in self.peers.values())]

    def _named(self) -> list[tuple[str, ReplicatedSource]]:
        return [
            (self.identity.source, self.own_source),
            *((name, copy.source) for name, copy in self.peers.items()),
        ]

    def _put(self, key: str, value: Any) -> None:
        self.own_source.put(key, value)
        self.change_count += 1

    def _drop(self, key: str) -> None:
        if key in self.own_source.values:
            self.own_source.drop(key)
            self.change_count += 1

    @staticmethod
    def _record(key: str, value: Any, now: float) -> Any:
        if key[0] == "w":
            return worker(value, now)
        return SessionRecord(**value, since=now) if key[0] == "g" else value

    @staticmethod
    def _wire(difference: Delta, now: float) -> Json:
        values = {}
        for key, value in difference.set.items():
            if isinstance(value, WorkerRecord):
                value = value.wire(now)
            elif isinstance(value, SessionRecord):
                value = value.wire()
            values[key] = value
        return {
            "version": difference.version,
            "full": difference.full,
            "set": values,
            "gone": difference.gone,
        }
