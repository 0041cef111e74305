"""`python -m ashlift`: the gatekeeper and its command line, as `python -m ashlift.gatekeeper`.

Installations and pages of the users start it by this name.
"""

import sys

from ashlift.gatekeeper.__main__ import run

if __name__ == "__main__":
    sys.exit(run())
