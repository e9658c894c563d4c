"""Overload handling: measures how late the sender runs, and sheds load by priority.

The order of priority is: rules (timely final answers, notices, waits, drains), accepted messages, new
messages, then invalid and silent clients. `load_shedder` decides without I/O; the event loop, the listeners
and the exchange report delays and processor time to it.
"""
