"""mintfront: decisions of gateways that hold customers to their quotas before a shared back end."""

from mintfront.control import Gateway

__all__ = ["Gateway"]
