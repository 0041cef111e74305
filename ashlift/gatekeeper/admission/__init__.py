"""Admission control: a gateway that enforces customers' quotas and selects servers for their requests.

`Gateway` is imported on first use: users of `window` alone do not load it.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ashlift.gatekeeper.admission.control import Gateway

__all__ = ["Bucket", "Gateway"]


@dataclass(slots=True)
class Bucket:
    """Units counted in a short interval: here, and by others as far as they reported them (remote)."""

    total: float = 0.0
    accepted: float = 0.0
    remote_total: float = 0.0
    remote_accepted: float = 0.0


def __getattr__(name: str) -> Any:
    if name == "Gateway":
        from ashlift.gatekeeper.admission.control import Gateway

        return Gateway
    raise AttributeError(name)
