"""The admin HTTP port: node maintenance, standby, status and metrics.

Without I/O: `admin_request` (parses requests), `admin_handler` (executes them), `statsd_metrics`,
`maintenance` (nodes taken out of rotation by operators), `lifecycle` (serving, standby, stopping).
With I/O: `admin_server` (sockets), `maintenance_file` and `process_count` (files that the processes of one
gatekeeper share).
"""
