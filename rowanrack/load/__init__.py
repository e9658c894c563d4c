"""What the sender does when its core is full: it measures how late it is, and sheds in the right order.

Rules come first (ends in time, notices, waits, drains), then messages already taken, then new ones, then bad
and silent clients. `load_shedder` decides, and does no I/O; whoever is late or spends time tells it.
"""
