"""The service registry: workers' heartbeats, proxies' sessions, usage counters, lookups, and the HTTP API.

`registry.Registry` holds the state and does no I/O; `rpc_service`, `replication_loops`, `store_client` and
`api` own the connections.
"""
