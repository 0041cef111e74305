"""The gatekeeper process: runs the decisions of `admission` on real sockets."""
