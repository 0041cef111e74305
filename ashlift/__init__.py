"""ashlift: a global load balancer. Importing the package loads none of its modules."""

__version__ = "0.2.0"
