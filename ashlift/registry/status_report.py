"""What one registry knows, for people: `GET /status`. Pure."""

from typing import Any

from ashlift.registry.registry import Registry


def overview(registry: Registry, now: float) -> dict[str, Any]:
    """Of gatekeepers that call here, also the `index` of the operator's word that they hold."""
    age, word = registry.lease_age(now), registry.operator_config
    return {
        "node": registry.identity.node,
        "source": registry.identity.source,
        "leader": registry.leader,
        "term": registry.term,
        "index": word.version,
        "version": word.values.get("Version"),
        "age": None if age is None else round(age, 3),
        "members": sorted(registry.core_members()),
        "sources": {
            name: {"version": copy.source.version, "silent": round(now - copy.heard, 3)}
            for name, copy in sorted(registry.peers.items())
        },
        "gatekeepers": [
            {"node": key, **one.wire(), **registry.session_progress(key, now)}
            for key, one in sorted(registry.live_sessions(now).items())
        ],
        "workers": [{"id": key, **one.wire(now)} for key, one in sorted(registry.workers().items())],
    }
