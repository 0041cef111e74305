"""mintfront: decisions of gateways that hold customers to their quotas before a shared back end.

Whoever needs only the windows (`ashlift.gatekeeper.admission.window`) does not load the gateway with them.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ashlift.gatekeeper.admission.control import Gateway

__all__ = ["Bucket", "Gateway"]


@dataclass(slots=True)
class Bucket:
    """Units seen in a short stretch of time, here and (as the counter told) elsewhere."""

    total: float = 0.0
    accepted: float = 0.0
    far_total: float = 0.0
    far_accepted: float = 0.0


def __getattr__(name: str) -> Any:
    if name == "Gateway":
        from ashlift.gatekeeper.admission.control import Gateway

        return Gateway
    raise AttributeError(name)
