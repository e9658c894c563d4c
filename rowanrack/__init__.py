"""rowanrack: a sender that delivers messages to endpoints of its partners over the network."""

__version__ = "0.1.0"
