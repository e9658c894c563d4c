"""Sockets: byte streams with bounded rings, HTTP by h11, and the pool of connections to instances."""
