"""The service registry: workers' heartbeats, proxies' sessions, usage counters, look-ups, and the HTTP API.

`registry.Registry` is pure and holds the state; `rpc_service`, `replication_loops`, `store_client` and `api`
own the connections.
"""
