"""The management front: operators' calls over HTTP/1.1, one call per connection.

`calls` defines the paths and their answers, without I/O, and `server` the listener that serves them. Changes
to the sender are made through the `Operations` protocol.
"""
