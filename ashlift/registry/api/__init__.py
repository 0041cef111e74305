"""The HTTP API of a registry for workers, clients and operators, one resource per module."""
