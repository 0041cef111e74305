"""ashlift: a global load balancer. Importing the package loads nothing else of it."""

__version__ = "0.2.0"
