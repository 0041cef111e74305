"""Measurements of the program on this machine; none of them is part of CI."""
