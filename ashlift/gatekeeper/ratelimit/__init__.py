"""Envoy's gRPC rate limit protocol: a service for other programs, and a client used as the quota counter.

Loaded only if the settings turn it on: by default the gatekeeper runs without gRPC.
"""
