"""The management front: operators' calls over HTTP/1.1, one call a connection.

It owns the paths and their answers (`calls`, no I/O) and the listener that serves them (`server`).
What a call changes is done by the sender's parts through the `Operations` port.
"""
