"""OTLP's three signals: their paths, their messages, and both encodings of them.

From the public specification: protobuf or JSON; in JSON the trace and span ids are hex digits, enumerations
are numbers, and unknown fields are skipped.
"""

from __future__ import annotations

import base64
import json
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from google.protobuf import json_format
from google.protobuf.message import DecodeError, Message
from google.rpc import code_pb2, status_pb2
from opentelemetry.proto.collector.logs.v1 import logs_service_pb2
from opentelemetry.proto.collector.metrics.v1 import metrics_service_pb2
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

from rowanrack.fronts.otlp import OtlpError

PROTOBUF, JSON = "application/x-protobuf", "application/json"
HEX_FIELDS = frozenset({"traceId", "spanId", "parentSpanId", "trace_id", "span_id", "parent_span_id"})


@dataclass(frozen=True, slots=True)
class Signal:
    """One signal: its name in the path, its request's list of resources, and its two messages."""

    name: str
    resources: str
    request: type[Message]
    response: type[Message]

    @property
    def path(self) -> str:
        """Where it is posted."""
        return f"/v1/{self.name}"


SIGNALS = {
    s.path: s
    for s in (
        Signal(
            "logs",
            "resource_logs",
            logs_service_pb2.ExportLogsServiceRequest,
            logs_service_pb2.ExportLogsServiceResponse,
        ),
        Signal(
            "traces",
            "resource_spans",
            trace_service_pb2.ExportTraceServiceRequest,
            trace_service_pb2.ExportTraceServiceResponse,
        ),
        Signal(
            "metrics",
            "resource_metrics",
            metrics_service_pb2.ExportMetricsServiceRequest,
            metrics_service_pb2.ExportMetricsServiceResponse,
        ),
    )
}


def media_type(header: str) -> str:
    """The encoding that a Content-Type names. Raises OtlpError on any other."""
    kind = header.split(";", 1)[0].strip().lower()
    if kind not in (PROTOBUF, JSON):
        raise OtlpError(415, f"Content-Type must be {PROTOBUF} or {JSON}")
    return kind


def plain_body(body: bytes, encoding: str, limit: int) -> bytes:
    """The body without its compression, which may not grow past the limit."""
    encoding = encoding.strip().lower()
    if encoding in ("", "identity"):
        return body
    if encoding != "gzip":
        raise OtlpError(415, "Content-Encoding must be gzip or identity")
    unpacker = zlib.decompressobj(wbits=31)
    try:
        # Guards against a small body that unpacks to gigabytes.
        plain = unpacker.decompress(body, limit + 1)
    except zlib.error:
        raise OtlpError(400, "the body is no gzip") from None
    if len(plain) > limit:
        raise OtlpError(413, f"the body is larger than {limit} bytes")
    if not unpacker.eof:
        raise OtlpError(400, "the gzip body is cut off")
    return plain


def _ids_from_hex(node: Any) -> Any:
    """The same JSON with ids in base64, as protobuf's own JSON has them."""
    if isinstance(node, list):
        return [_ids_from_hex(item) for item in node]
    if not isinstance(node, dict):
        return node
    return {
        key: base64.b64encode(bytes.fromhex(value)).decode()
        if key in HEX_FIELDS and isinstance(value, str)
        else _ids_from_hex(value)
        for key, value in node.items()
    }


UNREADABLE = (
    DecodeError,
    json_format.ParseError,
    ValueError,
    TypeError,
    AttributeError,
    RecursionError,
    SystemError,  # protobuf's C code, on a name with half of a surrogate pair
)


def parse_message(into: Message, body: bytes, kind: str) -> Message:
    """Read a message in either encoding. Raises OtlpError if it cannot be read."""
    try:
        if kind == JSON:
            json_format.ParseDict(_ids_from_hex(json.loads(body)), into, ignore_unknown_fields=True)
        else:
            into.ParseFromString(body)
    except UNREADABLE:
        raise OtlpError(400, "the body cannot be read") from None
    return into


def write_message(message: Message, kind: str) -> bytes:
    """A message in either encoding."""
    if kind == JSON:
        return json_format.MessageToJson(message, indent=None).encode()
    return message.SerializeToString()


STATUS_CODES = {
    400: code_pb2.INVALID_ARGUMENT,
    404: code_pb2.NOT_FOUND,
    500: code_pb2.ABORTED,
    503: code_pb2.UNAVAILABLE,
}


def write_status(status: int, text: str, kind: str) -> bytes:
    """The google.rpc.Status that goes with an HTTP status."""
    code = STATUS_CODES.get(status, code_pb2.INVALID_ARGUMENT)
    return write_message(status_pb2.Status(code=code, message=text), kind)


def resource_attributes(signal: Signal, request: Message) -> Iterator[tuple[str, str]]:
    """Names and values of all resources' attributes that are texts, numbers or bools."""
    for item in getattr(request, signal.resources):
        for pair in item.resource.attributes:
            which = pair.value.WhichOneof("value")
            if which in ("string_value", "int_value", "bool_value", "double_value"):
                yield pair.key, str(getattr(pair.value, which))
