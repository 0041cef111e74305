"""The registry: workers' beats, gatekeepers' sessions, count sums, `/lookup`. Takes the outside calls."""
