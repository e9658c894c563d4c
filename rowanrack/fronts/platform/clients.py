"""The client side of the platform front: the SUBMIT and PING commands over RESP2."""

from __future__ import annotations

import asyncio
import re

from rowanrack.core.exchange import Exchange
from rowanrack.core.identity import IdInUseError
from rowanrack.core.messages import HEADER_SAFE, Message
from rowanrack.fronts.platform import FRONT_NAME
from rowanrack.fronts.platform.open_requests import OpenRequests
from rowanrack.fronts.platform.resp import RespError, error_line, parse_command, simple_string
from rowanrack.net.input_memory import InputMemory
from rowanrack.net.listener import ConnectionState, Listener
from rowanrack.net.stream import Stream
from rowanspindle import Effect, Settings

WHOLE_NUMBER = re.compile(r"[0-9]{1,15}")


def read_submit(arguments: list[bytes], settings: Settings, now_unix_us: int) -> Message:
    """Parse a SUBMIT command into a message. Raises RespError with a text for the client."""
    if len(arguments) != 5:
        raise RespError("ERR SUBMIT takes a key, an id, a list and a body")
    try:
        message_id, field_list = arguments[2].decode("ascii"), arguments[3].decode("utf-8")
    except UnicodeDecodeError:
        raise RespError("ERR the id or the list is no text") from None
    if not HEADER_SAFE.fullmatch(message_id):
        raise RespError("ERR bad id")
    values = dict(pair.partition("=")[::2] for pair in field_list.split(","))
    if missing := [name for name in ("c", "d", "dest") if name not in values]:
        raise RespError(f"ERR the list lacks {missing[0]}")
    if not (WHOLE_NUMBER.fullmatch(values["d"]) and WHOLE_NUMBER.fullmatch(values["dest"])):
        raise RespError("ERR d and dest must be whole numbers")
    left_ms, dest = int(values["d"]), int(values["dest"])
    cls, tenant = values["c"], values.get("t", "")
    if cls not in settings.classes:
        raise RespError(f"ERR unknown class {cls[:32]!r}")
    if tenant and settings.tenants and tenant not in settings.tenants:
        raise RespError(f"ERR unknown tenant {tenant[:32]!r}")
    # Rejects messages that would be held for ever. The factor allows for the margin that clients add.
    if left_ms * 1000 > 2 * settings.classes[cls].deadline_us:
        raise RespError("ERR d is far over the deadline of the class")
    key = values.get("k", "")
    if key and not HEADER_SAFE.fullmatch(key):
        raise RespError("ERR bad k")
    if not key and settings.classes[cls].effect is Effect.KEYED:
        # Without a key the destination cannot drop duplicates, so no attempt after the first would be safe.
        raise RespError(f"ERR the list lacks k: class {cls} is keyed")
    return Message(
        message_id, cls, tenant, dest, now_unix_us + left_ms * 1000, arguments[4], FRONT_NAME, key=key
    )


def message_class_of(field_list: bytes) -> str:
    """Return the message class given in the list of a SUBMIT, or "" if there is none."""
    for pair in field_list.split(b","):
        if pair.startswith(b"c="):
            return pair[2:].decode("utf-8", "replace")
    return ""


class PlatformClients(Listener):
    """Accepts connections of clients and answers their commands."""

    timeout_answer = error_line("ERR Protocol error: the command does not come whole in time")
    out_of_memory_answer = error_line("ERR the command is incomplete and its memory is needed")
    reuse_port = True

    def __init__(self, exchange: Exchange, max_connections: int, input_memory: InputMemory) -> None:
        super().__init__(max_connections, exchange, input_memory)
        self._open_requests = OpenRequests()

    async def serve_connection(self, stream: Stream) -> None:
        """Answer the commands of one connection in turn; input that is not a command closes it."""
        try:
            await self._serve_commands(stream)
        finally:
            self._open_requests.completed(stream)

    async def _serve_commands(self, stream: Stream) -> None:
        while True:
            try:
                arguments, error_text = parse_command(stream.receive_buffer), ""
            except RespError as error:
                arguments, error_text = None, f"ERR {error}"
            if error_text:
                await self.reject(stream, error_line(error_text), error_text.removeprefix("ERR "))
                return
            if arguments is None:
                if len(stream.receive_buffer):
                    self._open_requests.received_part(stream)
                    self.set_state(stream, ConnectionState.RECEIVING)
                elif self.may_close(stream):
                    return
                if not await stream.fill():
                    return
                continue
            if stream.closing or await self.client_has_left(stream):
                # Accepting the message now could duplicate it: a client whose connection was closed before
                # its request was read submits the message to another sender.
                return
            self._open_requests.completed(stream)
            self.set_state(stream, ConnectionState.BUSY)
            try:
                answer = self._answer(arguments)
            except RespError as error:
                error_text = str(error)
            # The connection may rest, or wait for its error: the body must not be kept meanwhile.
            del arguments
            if error_text:
                await self.reject(stream, error_line(error_text), error_text)
                return
            await stream.send(answer)
            self.set_state(stream, ConnectionState.IDLE)
            if len(stream.receive_buffer):
                # Input that is already read, perhaps a whole request, must not be lost by closing.
                self.set_state(stream, ConnectionState.BUSY)
                await asyncio.sleep(0)  # lets other connections run when this one always has input

    def _answer(self, arguments: list[bytes]) -> bytes:
        name = arguments[0].upper()
        if name == b"PING":
            return (
                error_line("ERR lame duck: this sender takes no new clients")
                if self.lame_duck
                else simple_string("PONG")
            )
        if name != b"SUBMIT":
            raise RespError(f"ERR unknown command {arguments[0][:32].decode('ascii', 'replace')!r}")
        if (
            len(arguments) == 5
            and (overload := self.exchange.refusal_if_overloaded(arguments[2].decode("latin-1"))) is not None
        ):
            if (cls := message_class_of(arguments[3])) in self.exchange.settings.classes:
                self.exchange.metrics.declined(cls)
            return error_line(f"BUSY {overload.retry_us // 1000}")
        message = read_submit(arguments, self.exchange.settings, self.exchange.clock.unix_us())
        if self._open_requests.conflicts_with(arguments):
            return self._refuse_id(message, "the id belongs to a request of another client that is under way")
        try:
            if (refusal := self.exchange.submit_or_repeat(message)) is not None:
                return error_line(f"BUSY {refusal.retry_us // 1000}")
        except IdInUseError as error:
            return self._refuse_id(message, str(error))
        return simple_string("OK")  # accepted, or a repeat of a message that is and has one end

    def _refuse_id(self, message: Message, reason: str) -> bytes:
        """Return the error for a message whose id is in use."""
        self.bad_input_warnings.warning("message %s of a client is refused: %s", message.id, reason)
        return error_line(f"ERR {reason}")
