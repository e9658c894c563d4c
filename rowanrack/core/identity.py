"""What makes two submissions the same message.

A message is known by its id. A submission under a known id repeats that message only if class, tenant,
destination and body agree as well. Otherwise the id is in use by another message, and the submission must get
an error: the end of the other message says nothing about it.
"""

from __future__ import annotations

import hashlib

from rowanrack.core.messages import Message

DIGEST_BYTES = 8


class IdInUseError(Exception):
    """The id of a submission belongs to a message with other contents."""

    def __init__(self) -> None:
        super().__init__("the id belongs to a message with another class, tenant, destination or body")


def content_digest(message: Message) -> bytes:
    """Return a digest of what a repeated submission of this message has in common with it, beside the id."""
    lengths = f"{len(message.cls)},{len(message.tenant)},{message.dest}:"
    digest = hashlib.blake2b(f"{lengths}{message.cls}{message.tenant}".encode(), digest_size=DIGEST_BYTES)
    digest.update(message.body)
    return digest.digest()
