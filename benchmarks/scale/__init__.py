"""The cost of the control plane by cluster size: `python -m benchmarks.scale`, docs/CAPACITY.md.

`cores`: the code without I/O, in one process, at sizes up to the design size. `run`: the real programs on
loopback with simulated proxies and workers. `page`: the tables and charts of the page, from both.
"""
