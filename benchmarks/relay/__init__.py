"""CPU time per request of the proxy, compared with a plain HTTP relay: `python -m benchmarks.relay`."""
