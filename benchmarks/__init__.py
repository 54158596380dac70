"""Benchmarks, the demonstration and the process fleet that they run on."""
