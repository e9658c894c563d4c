"""Several messages in one call: the body of POST /inbox/bulk, and what its answer says of each. No I/O.

An answer is believed only where it is clear: whatever it leaves out, names twice or spoils may have run.
"""

from __future__ import annotations

import base64
import json
from collections import Counter
from collections.abc import Sequence
from typing import Any

from rowanrack.core.messages import Message

BODY_MOST = 64 * 1024  # bytes of a request's body
STATES = frozenset({"ok", "error", "later", "gone", "exhausted"})


def entry(message: Message) -> bytes:
    """One message as it stands in the array."""
    doc = {"id": message.id, "body": base64.b64encode(message.body).decode()}
    if message.key:
        doc["key"] = message.key
    return json.dumps(doc, separators=(",", ":")).encode()


def fit(messages: Sequence[Message], most: int = BODY_MOST) -> int:
    """How many of them, from the first on, stand in one body; one at least, none of them twice."""
    size, ids = 1, set[str]()
    for count, message in enumerate(messages):
        size += len(entry(message)) + 1
        if count and (size > most or message.id in ids):
            return count
        ids.add(message.id)
    return len(messages)


def encode(messages: Sequence[Message]) -> bytes:
    """The body."""
    return b"[" + b",".join(entry(m) for m in messages) + b"]"


def told_once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """A JSON object; an empty one if it has a name twice, since readers differ in which they take."""
    found = dict(pairs)
    return found if len(found) == len(pairs) else {}


def states(body: bytes, ids: Sequence[str]) -> list[str]:
    """The state of each id in the answer's body; "" where it is not told clearly."""
    try:
        doc: Any = json.loads(body, object_pairs_hook=told_once)
    except (ValueError, RecursionError):
        doc = None
    items = [item for item in doc if isinstance(item, dict)] if isinstance(doc, list) else []
    named = [(name, item.get("state")) for item in items if isinstance(name := item.get("id"), str)]
    times, told = Counter(name for name, _ in named), dict(named)
    found = (told[message_id] if times[message_id] == 1 else "" for message_id in ids)
    return [state if isinstance(state, str) and state in STATES else "" for state in found]
