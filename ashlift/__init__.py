"""ashlift: the gatekeeper on real sockets, round the decisions of mintfront."""
