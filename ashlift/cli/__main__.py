"""Runs the command line as `python3 -m ashlift.cli`."""

import sys

from ashlift.cli.application import main

sys.exit(main())
