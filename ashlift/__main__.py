"""`python -m ashlift`: the gatekeeper and its command line, like `python -m ashlift.gatekeeper`.

Existing installations start the gatekeeper by this name.
"""

import sys

from ashlift.gatekeeper.__main__ import run

if __name__ == "__main__":
    sys.exit(run())
