"""Names of state sources in the version vectors that registries and proxies exchange."""

from typing import Final

# The operator's configuration. The wire protocol keeps the store's former name.
OPERATOR_SOURCE: Final = "vise"
