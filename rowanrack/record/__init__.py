"""Recordings: what a sender was asked and what came of it, with times, for the model to be fitted to.

Owns the format (`format`), its writing beside a serving sender (`recorder`) and its reading. A recording
holds no bodies and no ids. Nothing here is imported by a sender whose operator's file has no `[record]`.
"""
