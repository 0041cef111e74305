"""Processor time of a request at the proxy, beside a bare relay: `python -m benchmarks.relay`."""
