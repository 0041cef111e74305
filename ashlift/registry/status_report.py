"""The response body of `GET /status`. Does no I/O."""

from typing import Any

from ashlift.registry.codec import encode_session, encode_worker
from ashlift.registry.proxy_sessions import SessionStatus
from ashlift.registry.registry import Registry


def status_report(registry: Registry, now: float) -> dict[str, Any]:
    """The state of the registry; for proxies that pull here also the `index` of their configuration."""
    config = registry.operator_config
    age = config.lease_age(now)
    return {
        "node": registry.identity.node,
        "source": registry.identity.source,
        "leader": config.leader,
        "term": config.term,
        "index": config.version,
        "version": config.values.get("Version"),
        "age": None if age is None else round(age, 3),
        "members": sorted(registry.core_members()),
        "sources": {
            name: {"version": peer.source.version, "silent": round(now - peer.last_contact_at, 3)}
            for name, peer in sorted(registry.peers.replicas.items())
        },
        "gatekeepers": [
            {"node": node, **encode_session(session), **_session_status(registry.sessions.status(node, now))}
            for node, session in sorted(registry.sessions.live(now).items())
        ],
        "workers": [
            {"id": worker_id, **encode_worker(worker, now)}
            for worker_id, worker in sorted(registry.instances.all_known().items())
        ],
    }


def _session_status(status: SessionStatus | None) -> dict[str, Any]:
    if status is None:
        return {}
    return {"index": status.config_index, "heard": round(status.seconds_since_pull, 3)}
