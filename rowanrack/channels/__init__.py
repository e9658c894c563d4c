"""The event log of each channel: what happened at a partner, in one order at every site, however they met.

A channel is a partner (its destination number in decimal) or `fleet`, for what operators do. The package
owns what an event is and how events are ordered (`events`), each site's stamps (`clock`), the log of a site
and how the logs of two merge (`log`, `sync`), who keeps which channel since when (`layout`), whom a read of
the past asks (`reads`) and what a partner was like then (`past`). No I/O: stores, links and clocks come
through `ports`. Design: docs/channels.md.
"""
