"""Names of state sources in the version vectors that registries and proxies exchange."""

from typing import Final

OPERATOR_SOURCE: Final = (
    "vise"  # the operator's configuration; the wire protocol keeps the store's former name
)
