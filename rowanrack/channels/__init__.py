"""The replicated event log of each channel, with the same order of events at every site.

A channel belongs to a destination (its number in decimal), or is `fleet`, for operator actions. The package
defines events and their order (`events`), the clock of a site (`clock`), the log of a site and the merging of
two logs (`log`, `sync`), which sites keep which channel (`layout`), reads of past states (`reads`), and the
state of a destination at a past time (`past`). It does no I/O: stores, links and clocks are passed in through
the interfaces of `ports`. Design: docs/channels.md.
"""
