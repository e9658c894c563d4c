"""The event log's I/O: what lets `rowanrack.channels`, which has none, live in a sender.

The package owns the log's thread and what waits for it (`writer`), the port for other sites and calls to
theirs (`server`, `links`), what of the exchange is noted (`watching`), and the assembly. Sending never waits
for any of it: what the log has no room or time for is counted and written as `lost`. See docs/channels.md.
"""
