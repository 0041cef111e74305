"""Limits, budgets, paces and choices of a gatekeeper: pure arithmetic, the clock and chance are given."""
