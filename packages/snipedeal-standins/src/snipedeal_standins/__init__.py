"""Simulated platform services and targets for tests, demos and benchmarks."""
