"""Streaming: request and response bodies are forwarded as they arrive, in bounded memory.

Without I/O: `budget` (memory of each stream), `progress` (detects slow peers), `faults` (why streams end)
and `heads` (headers and body framing). With greenlets: `pipe` (transfers one body) and `stream` (the two
bodies of a job). With sockets: `pump`. Loaded only if streaming is enabled, or for the first long response.
"""
