"""The service clients' side of the platform: SUBMIT and PING over RESP2."""

from __future__ import annotations

import re

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Message
from rowanrack.fronts.platform import FRONT
from rowanrack.fronts.platform.resp import RespError, error, parse_command, simple
from rowanrack.net.listener import Listener
from rowanrack.net.stream import Stream

HEADER_SAFE = re.compile(r"[!-~]{1,256}")  # the id travels in a header


def read_submit(words: list[bytes], now_unix_us: int) -> Message:
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
    try:
        left_ms, dest = int(values["d"]), int(values["dest"])
        cls, tenant = values["c"], values.get("t", "")
    except KeyError as missing:
        raise RespError(f"ERR the list lacks {missing.args[0]}") from None
    except ValueError:
        raise RespError("ERR d and dest must be whole numbers") from None
    if not 0 <= left_ms <= 86_400_000 or not 0 <= dest < 1 << 62:
        raise RespError("ERR d or dest is out of range")
    return Message(message_id, cls, tenant, dest, now_unix_us + left_ms * 1000, words[4], FRONT)


class PlatformServiceClients(Listener):
    """The listener for service clients."""

    def __init__(self, exchange: Exchange, most: int) -> None:
        super().__init__(most)
        self.exchange = exchange

    async def talk(self, stream: Stream) -> None:
        """Answer one command after the other; what is no command ends the connection."""
        while True:
            try:
                words = parse_command(stream.inward)
            except RespError as bad:
                await stream.send(error(f"ERR {bad}"))
                return
            if words is None:
                self.streams[stream] = not len(stream.inward)
                if self.draining and not len(stream.inward):
                    return
                if not await stream.fill():
                    return
                continue
            if stream.closing:
                # Guards against a message taken twice: a client whose connection was closed before its
                # request was read hands it in again elsewhere.
                return
            self.streams[stream] = False
            try:
                answer = self._answer(words)
            except RespError as bad:
                await stream.send(error(str(bad)))
                return
            await stream.send(answer)

    def _answer(self, words: list[bytes]) -> bytes:
        name = words[0].upper()
        if name == b"PING":
            return simple("PONG")
        if name != b"SUBMIT":
            raise RespError(f"ERR unknown command {words[0][:32].decode('ascii', 'replace')!r}")
        message = read_submit(words, self.exchange.clock.unix_us())
        if message.cls not in self.exchange.settings.classes:
            raise RespError(f"ERR unknown class {message.cls[:32]!r}")
        if self.exchange.known(message.id) is not None:
            return simple("OK")  # handed in twice under one id: it is taken already, and has one end
        nack = self.exchange.submit(message)
        return simple("OK") if nack is None else error(f"BUSY {nack.retry_us // 1000}")
