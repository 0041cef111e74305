"""The gatekeeper in service: the decisions of `admission` on real sockets."""
