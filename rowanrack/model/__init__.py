"""A model of the fleet in virtual time: partners, network, discovery and clients round the real senders.

It owns everything outside a sender. The senders are the program's own exchange and decision module, driven
through their ports; nothing of them is imitated. One seed gives one history, byte for byte. I/O is left to
`cli`, `pool`, `variants`, `worker`, `report` and `scenario.load`. Only tools import this package.
"""
