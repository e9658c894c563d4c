"""Accepted messages, their attempts and their final answers. No I/O, and no knowledge of any protocol."""
