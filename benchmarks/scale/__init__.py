"""What control costs by the size of the cluster: `python -m benchmarks.scale`, docs/CAPACITY.md.

`cores`: the programs' pure parts at sizes up to the one designed for, in one process. `run`: the real
programs on loopback before simulated proxies and workers. `page`: tables and charts of the page from both.
"""
