"""Benchmarks of performance, fairness and resource use; not evaluated by CI."""
