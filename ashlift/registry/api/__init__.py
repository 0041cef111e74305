"""The HTTP API of a registry: for workers, clients and operators; a resource a module."""
