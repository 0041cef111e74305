"""Names of state sources in version vectors, as they stand on the wire between registries and proxies."""

from typing import Final

# The operator's configuration. The wire keeps the name that the store had when the calls were defined.
OPERATOR_SOURCE: Final = "vise"
