"""Envoy's gRPC rate limit protocol: a front for others, and a client in the text counter's place.

Nothing here is loaded unless its file under deploy/ turns it on: the platform runs without gRPC.
"""
