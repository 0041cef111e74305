"""The proxy: clients' front, readiness, the way to workers, the limiter, tries."""
