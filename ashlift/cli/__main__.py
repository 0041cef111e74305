"""`python3 -m ashlift.cli`."""

import sys

from ashlift.cli.commands import main

sys.exit(main())
