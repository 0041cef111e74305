"""The platform's front: client connections, HTTP in, jobs to the owner's queue, answers back.

`asked` (what one request is, and the job it makes), `reader` (bytes to requests), `answers` (answers to
bytes): no sockets. `connection` is the life of one connection, `uploads` and `downloads` the streamed bodies
on it, `listener` knows them all.
"""

from ashlift.gatekeeper.net.front.listener import Front

__all__ = ["Front"]
