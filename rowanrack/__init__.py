"""rowanrack: a sender that delivers messages to partners' instances over real sockets."""

__version__ = "0.1.0"
