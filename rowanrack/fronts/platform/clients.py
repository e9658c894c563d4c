"""The clients' side of the platform: SUBMIT and PING over RESP2."""

from __future__ import annotations

import asyncio
import re

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import HEADER_SAFE, Message
from rowanrack.fronts.platform import FRONT
from rowanrack.fronts.platform.resp import RespError, error, parse_command, simple
from rowanrack.net.listener import Listener, State
from rowanrack.net.stream import Stream
from rowanspindle import Effect, Settings

WHOLE = re.compile(r"[0-9]{1,15}")


def read_submit(words: list[bytes], settings: Settings, now_unix_us: int) -> Message:
    """The message of a SUBMIT command. Raises RespError with a text for the client."""
    if len(words) != 5:
        raise RespError("ERR SUBMIT takes a key, an id, a list and a body")
    try:
        message_id, listed = words[2].decode("ascii"), words[3].decode("utf-8")
    except UnicodeDecodeError:
        raise RespError("ERR the id or the list is no text") from None
    if not HEADER_SAFE.fullmatch(message_id):
        raise RespError("ERR bad id")
    values = dict(pair.partition("=")[::2] for pair in listed.split(","))
    if missing := [name for name in ("c", "d", "dest") if name not in values]:
        raise RespError(f"ERR the list lacks {missing[0]}")
    if not (WHOLE.fullmatch(values["d"]) and WHOLE.fullmatch(values["dest"])):
        raise RespError("ERR d and dest must be whole numbers")
    left_ms, dest = int(values["d"]), int(values["dest"])
    cls, tenant = values["c"], values.get("t", "")
    if cls not in settings.classes:
        raise RespError(f"ERR unknown class {cls[:32]!r}")
    if tenant and settings.tenants and tenant not in settings.tenants:
        raise RespError(f"ERR unknown tenant {tenant[:32]!r}")
    # Guards the hold against a message that would stay in it for ever. Clients add a little to the deadline.
    if left_ms * 1000 > 2 * settings.classes[cls].deadline_us:
        raise RespError("ERR d is far over the deadline of the class")
    key = values.get("k", "")
    if key and not HEADER_SAFE.fullmatch(key):
        raise RespError("ERR bad k")
    if not key and settings.classes[cls].effect is Effect.KEYED:
        # Without it the destination could not drop a repeat: no attempt but the first would ever be safe.
        raise RespError(f"ERR the list lacks k: class {cls} is keyed")
    return Message(message_id, cls, tenant, dest, now_unix_us + left_ms * 1000, words[4], FRONT, key=key)


def class_of(listed: bytes) -> str:
    """The class named in a SUBMIT's list, or "" if it names none."""
    for pair in listed.split(b","):
        if pair.startswith(b"c="):
            return pair[2:].decode("utf-8", "replace")
    return ""


class PlatformClients(Listener):
    """The listener for clients."""

    too_slow = error("ERR Protocol error: the command does not come whole in time")
    shared = True

    def __init__(self, exchange: Exchange, most: int) -> None:
        super().__init__(most, exchange)

    async def talk(self, stream: Stream) -> None:
        """Answer one command after the other; what is no command ends the connection."""
        while True:
            try:
                words = parse_command(stream.inward)
            except RespError as bad:
                await self.farewell(stream, error(f"ERR {bad}"), str(bad))
                return
            if words is None:
                if len(stream.inward):
                    self.mark(stream, State.OWING)
                elif self.may_leave(stream):
                    return
                if not await stream.fill():
                    return
                continue
            if stream.closing:
                # Guards against a message taken twice: a client whose connection was closed before its
                # request was read hands it in again elsewhere.
                return
            self.mark(stream, State.BUSY)
            try:
                answer = self._answer(words)
            except RespError as bad:
                await self.farewell(stream, error(str(bad)), str(bad))
                return
            await stream.send(answer)
            self.mark(stream, State.IDLE)
            if len(stream.inward):
                self.mark(stream, State.BUSY)  # guards what has been read, maybe whole, against a close
                await asyncio.sleep(0)  # guards the other connections against one that never pauses

    def _answer(self, words: list[bytes]) -> bytes:
        name = words[0].upper()
        if name == b"PING":
            return error("ERR lame duck: this sender takes no new clients") if self.lame else simple("PONG")
        if name != b"SUBMIT":
            raise RespError(f"ERR unknown command {words[0][:32].decode('ascii', 'replace')!r}")
        if len(words) == 5 and (full := self.exchange.too_busy(words[2].decode("latin-1"))) is not None:
            self.exchange.figures.declined(class_of(words[3]))
            return error(f"BUSY {full.retry_us // 1000}")
        message = read_submit(words, self.exchange.settings, self.exchange.clock.unix_us())
        if self.exchange.known(message.id) is not None:
            return simple("OK")  # handed in twice under one id: it is taken already, and has one end
        refusal = self.exchange.submit(message)
        return simple("OK") if refusal is None else error(f"BUSY {refusal.retry_us // 1000}")
