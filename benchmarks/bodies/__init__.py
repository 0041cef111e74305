"""Streamed bodies through the gatekeeper in service: `python -m benchmarks.bodies`, docs/streams.md."""
