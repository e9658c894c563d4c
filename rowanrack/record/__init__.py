"""Recordings of the messages, calls and results of a sender, with times, to which the model is fitted.

This package defines the file format (`format`), writes recordings while a sender serves (`recorder`) and
reads them. A recording contains no message bodies and no message ids. A sender imports this package only if
the operator's configuration has a `[record]` section.
"""
