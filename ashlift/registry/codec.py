"""Encodes and decodes the registry's records and RPC bodies; all wire keys and positions are defined here.

Functions that do not return a `Failure` raise KeyError, TypeError or ValueError for invalid input.
"""

from collections.abc import Mapping
from typing import Any, Final

from ashlift.errors import Failure, FailureReason
from ashlift.registry.delta import Delta
from ashlift.registry.messages import (
    CommandResult,
    Json,
    LoadReport,
    PullRequest,
    PullResponse,
    SourceUpdate,
    SwapOrigin,
    SwapRequest,
    SwapResponse,
    UsageReport,
    WatchResponse,
)
from ashlift.registry.record_keys import (
    DEPARTURE_PREFIX,
    LEASE_REPORT_PREFIX,
    LEASE_TABLE_PREFIX,
    SESSION_PREFIX,
    USAGE_AGE_KEY,
    WORKER_PREFIX,
)
from ashlift.registry.records import SessionRecord, WorkerRecord, WorkerState
from ashlift.rpc.departures import Departure
from ashlift.rpc.quota_leases import LeaseReport, LeaseTable
from ashlift.rpc.sources import OPERATOR_SOURCE

# Key prefixes of the operator's configuration.
CORE_MEMBER_PREFIX: Final = "Members/"
STORE_INTERNAL_PREFIXES: Final = ("Taken", "Refused/")  # used by stores to recognize repeated commands

WORKER_KEYS: Final = frozenset(("service", "address", "zone", "capacity", "state", "seq", "warm", "version"))
SESSION_KEYS: Final = frozenset(("front", "zone", "region", "ready"))
WARM_DECIMALS: Final = 2
UPTIME_DECIMALS: Final = 2
AGE_DECIMALS: Final = 4
USAGE_AGE_DECIMALS: Final = 2
MAX_INDEX: Final = 1 << 62


# ---- records


def encode_worker(record: WorkerRecord, now: float) -> Json:
    """`warm`: seconds from `now` until the slow start ends."""
    return {
        "service": record.service,
        "address": record.address,
        "zone": record.zone,
        "capacity": record.capacity,
        "state": record.state.value,
        "seq": record.call_seq,
        "warm": round(max(0.0, record.warm_at - now), WARM_DECIMALS),
        "version": record.config_version,
    }


def decode_worker(wire: Mapping[str, Any], now: float) -> WorkerRecord:
    """A worker record received from another registry at `now`."""
    if wire.keys() != WORKER_KEYS:
        raise ValueError(f"unexpected fields of a worker record: {sorted(wire)}")
    return WorkerRecord(
        service=wire["service"],
        address=wire["address"],
        zone=wire["zone"],
        capacity=wire["capacity"],
        state=WorkerState(wire["state"]),
        call_seq=wire["seq"],
        warm_at=now + wire["warm"],
        config_version=wire["version"],
    )


def encode_session(record: SessionRecord) -> Json:
    """Encode without `renewed_at`, which the receiver sets to the time of receipt."""
    return {
        "front": record.client_address,
        "zone": record.zone,
        "region": record.region,
        "ready": record.ready,
    }


def decode_session(wire: Mapping[str, Any], now: float) -> SessionRecord:
    """A session record received from another registry at `now`."""
    if wire.keys() != SESSION_KEYS:
        raise ValueError(f"unexpected fields of a session record: {sorted(wire)}")
    return SessionRecord(wire["front"], wire["zone"], wire["region"], wire["ready"], renewed_at=now)


def decode_record(key: str, wire: Any, now: float) -> Any:
    """A record of any kind; usage, load and configuration entries are not converted."""
    if key.startswith(WORKER_PREFIX):
        return decode_worker(wire, now)
    if key.startswith(SESSION_PREFIX):
        return decode_session(wire, now)
    if key.startswith(DEPARTURE_PREFIX):
        return Departure.from_wire(wire, now)
    if key.startswith(LEASE_REPORT_PREFIX):
        return _decode_lease_reports(wire)
    if key.startswith(LEASE_TABLE_PREFIX):
        return LeaseTable.from_wire(wire)
    return wire


def _decode_lease_reports(wire: Mapping[str, Any]) -> dict[str, LeaseReport]:
    return {str(tenant): LeaseReport.from_wire(report) for tenant, report in wire.items()}


def encode_delta(delta: Delta, now: float) -> Json:
    """Encode a delta of a registry's records or of the operator's configuration."""
    values = {}
    for key, value in delta.values.items():
        if isinstance(value, WorkerRecord):
            value = encode_worker(value, now)
        elif isinstance(value, SessionRecord):
            value = encode_session(value)
        elif isinstance(value, Departure):
            value = value.to_wire(now)
        values[key] = value
    return {"version": delta.version, "full": delta.full, "set": values, "gone": delta.removed}


# ---- pull


def decode_pull_request(wire: Any) -> PullRequest | Failure:
    """The request, or an INVALID failure that says what is wrong."""
    try:
        node = wire["node"]
        usage = wire.get("adds") or {}
        versions = dict(wire["have"])
        config_index = int(versions.get(OPERATOR_SOURCE, 0))
        ready = bool(wire["ready"]) and not wire.get("leaving")
        return PullRequest(
            node=node,
            config_index=config_index,
            ready=ready,
            client_address=wire["front"],
            zone=wire["zone"],
            region=wire["region"],
            incarnation=wire["incarnation"],
            versions=versions,
            load=_decode_load_report(wire),
            usage=_decode_usage_report(usage),
            leases=_decode_lease_reports(wire.get("leases") or {}),
            wait_seconds=float(wire.get("wait", 0.0)),
            urgent=bool(wire.get("eager")),
            accepts_packed=bool(wire.get("packs")),
            accepts_fragments="part" in wire,
            fragment=wire.get("part"),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Failure(FailureReason.INVALID, f"pull: {error!r}")


def _decode_load_report(wire: Mapping[str, Any]) -> LoadReport:
    in_flight = dict(wire.get("outs") or {})
    failures = dict(wire.get("faults") or {})
    return LoadReport(
        {str(worker_id): int(count) for worker_id, count in in_flight.items()},
        {str(worker_id): (int(failed), int(ran)) for worker_id, (failed, ran) in failures.items()},
    )


def _decode_usage_report(wire: Mapping[str, Any]) -> UsageReport:
    counts = dict(wire.get("counts") or {})
    increments = [(tenant, int(total), int(declined)) for tenant, (total, declined) in counts.items()]
    return UsageReport(wire.get("number", 0), increments, float(wire.get("age", 0.0)))


def encode_pull_response(response: PullResponse, now: float) -> Json:
    """Encode with rounded times, which keeps the frequent messages short."""
    sources = {name: _encode_source_update(update, now) for name, update in response.updates.items()}
    if response.config_update is not None:
        sources[OPERATOR_SOURCE] = response.config_update
    age = response.lease_age
    return {
        "sources": sources,
        "alive": response.alive,
        "age": None if age is None else round(age, AGE_DECIMALS),
        "held": round(response.response_delay_seconds, AGE_DECIMALS),
        "ran": round(response.uptime, UPTIME_DECIMALS),
        "late": response.config_is_behind,
        "controls": response.registries,
        "members": response.proxy_count,
        "lag": round(response.usage_age, USAGE_AGE_DECIMALS),
    }


def _encode_source_update(update: SourceUpdate, now: float) -> Json:
    wire = encode_delta(update.delta, now)
    if update.uptime is not None:
        wire["run"] = round(update.uptime, UPTIME_DECIMALS)
    if update.recent_usage is not None:
        seconds, accepted = update.recent_usage
        wire["recent"] = [round(seconds, USAGE_AGE_DECIMALS), accepted]
    return wire


def is_partial_config_update(wire: Json, newest_version: int) -> bool:
    """Whether an encoded update of the configuration is a fragment, or older than the newest version."""
    return wire["version"] < newest_version or "part" in wire


# ---- swap: lists without keys, to save traffic between regions


def encode_swap_request(request: SwapRequest) -> list[Any]:
    """`[incarnation, version]`, followed by the caller's IP if it is set."""
    wire: list[Any] = [request.incarnation, request.version]
    return wire if request.caller_ip is None else [*wire, request.caller_ip]


def decode_swap_request(wire: Any) -> SwapRequest | Failure:
    """The request, or an INVALID failure that says what is wrong."""
    try:
        incarnation, version, *caller_ip = wire
        return SwapRequest(str(incarnation), int(version), str(caller_ip[0]) if caller_ip else None)
    except (TypeError, ValueError) as error:
        return Failure(FailureReason.INVALID, f"swap: {error!r}")


def encode_swap_response(response: SwapResponse, now: float) -> Any:
    """Encode as the version alone if nothing has changed, or as `[version, set, gone]`.

    A snapshot has its origin appended: `[version, set, [], node, incarnation, zone, region, uptime]`.
    """
    if response.delta is None:
        return response.version
    delta = encode_delta(response.delta, now)
    if response.usage_age is not None:
        ages = response.usage_age, response.held_seconds
        delta["set"][USAGE_AGE_KEY] = [round(age, USAGE_AGE_DECIMALS) for age in ages]
    wire = [delta["version"], delta["set"], delta["gone"]]
    origin = response.origin
    if origin is not None:
        uptime = round(now - origin.started_at, UPTIME_DECIMALS)
        wire += [origin.node, origin.incarnation, origin.zone, origin.region, uptime]
    return wire


def decode_swap_response(wire: Any, now: float) -> SwapResponse | Failure:
    """The response received at `now`, or an INVALID failure that says what is wrong."""
    if isinstance(wire, int):
        return SwapResponse(wire, None)
    try:
        version, values, removed, *origin_fields = wire
        records = {key: decode_record(key, value, now) for key, value in values.items()}
        ages = records.pop(USAGE_AGE_KEY, None)
        usage_age, held_seconds = (None, 0.0) if ages is None else map(float, ages)
        delta = Delta(version, bool(origin_fields), records, removed)
        origin = None
        if origin_fields:
            node, incarnation, zone, region, uptime = origin_fields
            origin = SwapOrigin(node, incarnation, zone, region, now - uptime)
        return SwapResponse(version, delta, origin, usage_age, held_seconds)
    except (KeyError, TypeError, ValueError) as error:
        return Failure(FailureReason.INVALID, f"swap: {error!r}")


# ---- calls to the configuration store


def encode_watch_request(known_index: int, wait_seconds: float, fragment: list[Any] | None) -> Json:
    """`fragment`: the requested fragment of a large configuration."""
    return {"have": known_index, "wait": wait_seconds, "part": fragment}


def encode_position_request() -> Json:
    """A `watch` request for the store's position: its response is immediate and has no entries."""
    return {"have": MAX_INDEX, "wait": 0.0}


def decode_watch_response(wire: Mapping[str, Any], assembled: Mapping[str, Any]) -> WatchResponse:
    """`assembled`: the same response with the configuration reassembled from its fragments.

    Entries that only stores use, to recognize repeated commands, are omitted.
    """
    answer = {**wire, **assembled}
    full = bool(answer.get("full"))
    values = {
        key: value for key, value in answer["set"].items() if not key.startswith(STORE_INTERNAL_PREFIXES)
    }
    removed = [] if full else [key for key in answer["gone"] if not key.startswith(STORE_INTERNAL_PREFIXES)]
    is_behind = bool(answer.get("late"))
    return WatchResponse(
        delta=Delta(assembled.get("version", wire["index"]), full, values, removed),
        term=answer.get("term", 0),
        leader=answer.get("leader"),
        lease_age=None if is_behind else answer.get("age"),
        response_delay_seconds=answer.get("held", 0.0),
        is_behind=is_behind,
    )


def decode_store_position(wire: Mapping[str, Any]) -> tuple[list[int], int]:
    """`[term, heartbeat round]` and committed index from a `watch` response."""
    return wire.get("round", [0, 0]), wire.get("index", 0)


def encode_command(kind: str, if_match: str | None, body: Any) -> Json:
    """Encode an operator's command without its fencing token."""
    return {"kind": kind, "if_match": if_match, "body": body}


def encode_fenced_command(command: Json, round_seen: list[int], index: int, seconds_left: float) -> Json:
    """Add the fencing token `[term, round, index, seconds left]`."""
    return {**command, "fence": [*round_seen, index, seconds_left]}


def decode_command_result(wire: Mapping[str, Any]) -> CommandResult:
    """A store's response to `submit` or `members`."""
    return CommandResult(wire["status"], {key: value for key, value in wire.items() if key != "status"})


def encode_membership_command(action: str, ip: str) -> Json:
    """`action`: `show`, `remove`, `replace` or `add`."""
    return {"do": action, "ip": ip}


def decode_configuration(wire: Mapping[str, Any]) -> Json:
    """The configuration entries by key, from the response to `read`."""
    entries: Json = wire["objects"]
    return entries


def encode_pending_edits_request(edits: list[Json]) -> Json:
    """Pending edits for a store to keep; its response has all that it holds."""
    return {"add": edits}


def decode_pending_edits(wire: Mapping[str, Any]) -> list[Json]:
    """The pending edits of a store, each as encoded by `ashlift.route_reconciliation.edit_codec`."""
    edits: list[Json] = wire["edits"]
    return edits
