"""The HTTP front: accepts client connections, puts jobs into the owner's queue and writes responses.

`request` (a request and the job made from it), `reader` (parses requests) and `rendering` (renders
responses) use no sockets. `connection` handles one client connection, `streaming` the streamed bodies on
it, and `listener` accepts connections.
"""

from ashlift.gatekeeper.net.front.listener import Front

__all__ = ["Front"]
