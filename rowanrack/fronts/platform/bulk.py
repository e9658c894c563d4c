"""Encoding of several messages as the body of POST /inbox/bulk, and parsing of its answer. No I/O.

An answer counts only for messages that it reports unambiguously. A message that is missing, reported twice or
reported in a malformed entry may have run.
"""

from __future__ import annotations

import base64
import json
from collections import Counter
from collections.abc import Sequence
from typing import Any

from rowanrack.core.messages import Message

MAX_BODY_BYTES = 64 * 1024
STATES = frozenset({"ok", "error", "later", "gone", "exhausted"})


def encode_entry(message: Message) -> bytes:
    """Encode one message as an element of the array."""
    document = {"id": message.id, "body": base64.b64encode(message.body).decode()}
    if message.key:
        document["key"] = message.key
    return json.dumps(document, separators=(",", ":")).encode()


def count_that_fit(messages: Sequence[Message], max_bytes: int = MAX_BODY_BYTES) -> int:
    """Return how many leading messages fit in one body: at least one, and no id twice."""
    size, ids = 1, set[str]()
    for count, message in enumerate(messages):
        size += len(encode_entry(message)) + 1
        if count and (size > max_bytes or message.id in ids):
            return count
        ids.add(message.id)
    return len(messages)


def encode(messages: Sequence[Message]) -> bytes:
    """Encode the body of the request."""
    return b"[" + b",".join(encode_entry(message) for message in messages) + b"]"


def reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Build a JSON object; empty if a key is repeated, since parsers differ in which value they use."""
    found = dict(pairs)
    return found if len(found) == len(pairs) else {}


def states(body: bytes, ids: Sequence[str]) -> list[str]:
    """Return the state of each id in the body of the answer; "" if it is missing or ambiguous."""
    try:
        document: Any = json.loads(body, object_pairs_hook=reject_duplicate_keys)
    except (ValueError, RecursionError):
        document = None
    items = [item for item in document if isinstance(item, dict)] if isinstance(document, list) else []
    reported = [(name, item.get("state")) for item in items if isinstance(name := item.get("id"), str)]
    occurrences, state_by_id = Counter(name for name, _ in reported), dict(reported)
    found_states = (state_by_id[message_id] if occurrences[message_id] == 1 else "" for message_id in ids)
    return [state if isinstance(state, str) and state in STATES else "" for state in found_states]
