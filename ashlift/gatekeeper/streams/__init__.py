"""Bodies passed on as they arrive, both ways, in bounded memory, whichever side is slower.

Pure, tested without sockets: `budget` (who may hold how many bytes), `pace` (who is waited for, and for how
long still), `faults` (what may go wrong, and what follows), `heads` (which headers pass, and how a body is
framed). Greenlets: `pipe` (bytes on their way), `passage` (one job's two bodies and the one fault that ends
both). Sockets: `pump`. Loaded only where the settings turn streaming on.
"""
