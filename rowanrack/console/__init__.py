"""The console: a read-only view of a running sender over a local Unix socket."""
