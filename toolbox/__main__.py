"""`python3 -m toolbox`."""

import sys

from toolbox.commands import main

sys.exit(main())
