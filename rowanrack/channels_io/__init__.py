"""The I/O of the event log; the log itself, in `rowanrack.channels`, does none.

The package owns the log's thread and the queue in front of it (`writer`), the port for other sites and the
calls to their ports (`server`, `links`), the observer that turns what happens in the exchange into events
(`watching`), and the service that assembles them (`part`). Sending never waits for the log: events that it
has no room or time for are dropped, counted, and written as one `lost` event. See docs/channels.md.
"""
