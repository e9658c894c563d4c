"""Benchmarks of the program: what a round of decisions costs, and what a sender does on one core.

`python -m benchmarks --help`. Everything stays on loopback, and nothing here is imported by the program. The
workers import only what every revision has, so that two checkouts can be measured in one run.
"""
