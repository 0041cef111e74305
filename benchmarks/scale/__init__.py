"""What the control side costs by its size: `python -m benchmarks.scale`, docs/CAPACITY.md.

`cores`: the programs' pure parts at sizes up to the whole of what is designed for, in one process. `run`:
the real programs on loopback before hollow gatekeepers and workers. `page`: tables and charts of the page
from both.
"""
