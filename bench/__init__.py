"""Benchmarks of cicadalever: scenarios with real processes, and cost by size."""
