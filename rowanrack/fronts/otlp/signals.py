"""The three OTLP signals (logs, traces, metrics): paths, request and response types, and both encodings.

OTLP allows protobuf and JSON. In its JSON form trace and span ids are hexadecimal, enumerations are numbers,
and unknown fields are ignored.
"""

from __future__ import annotations

import base64
import json
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
from rowanrack.fronts.otlp.gzip_body import gunzip

PROTOBUF, JSON = "application/x-protobuf", "application/json"
# Memory that parsing takes: an object or a list in JSON, as a Python object, twice, and as a message; and a
# further element.
JSON_CONTAINER_BYTES, JSON_ELEMENT_BYTES = 300, 60
HEX_FIELDS = frozenset({"traceId", "spanId", "parentSpanId", "trace_id", "span_id", "parent_span_id"})


@dataclass(frozen=True, slots=True)
class Signal:
    """One signal: its name in the path, the request field that lists resources, and its message types."""

    name: str
    resources_field: str
    request: type[Message]
    response: type[Message]

    @property
    def path(self) -> str:
        """The URL path to which requests of this signal are posted."""
        return f"/v1/{self.name}"


SIGNALS = {
    signal.path: signal
    for signal in (
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
    """Return the media type of a Content-Type header. Raises OtlpError if it is not a supported one."""
    content_type = header.split(";", 1)[0].strip().lower()
    if content_type not in (PROTOBUF, JSON):
        raise OtlpError(415, f"Content-Type must be {PROTOBUF} or {JSON}")
    return content_type


async def decompressed_body(body: bytes, encoding: str, limit_bytes: int) -> bytes:
    """Return the decompressed body. Raises OtlpError if it is larger than the limit or cannot be read."""
    encoding = encoding.strip().lower()
    if encoding in ("", "identity"):
        return body
    if encoding != "gzip":
        raise OtlpError(415, "Content-Encoding must be gzip or identity")
    return await gunzip(body, limit_bytes)


def parsed_json_bytes(body: bytes) -> int:
    """Return an estimate of the memory that parsing a JSON body takes, which its size does not tell."""
    containers = body.count(b"{") + body.count(b"[")
    return containers * JSON_CONTAINER_BYTES + body.count(b",") * JSON_ELEMENT_BYTES


def _ids_from_hex(node: Any) -> Any:
    """Convert hexadecimal ids to base64, which the protobuf JSON mapping expects."""
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


PARSE_ERRORS = (
    DecodeError,
    json_format.ParseError,
    ValueError,
    TypeError,
    AttributeError,
    RecursionError,
    SystemError,  # raised by the protobuf C extension for a name with an unpaired surrogate
)


def parse_message(into: Message, body: bytes, content_type: str) -> Message:
    """Parse a body of the given media type into `into`. Raises OtlpError if it is malformed."""
    try:
        if content_type == JSON:
            json_format.ParseDict(_ids_from_hex(json.loads(body)), into, ignore_unknown_fields=True)
        else:
            into.ParseFromString(body)
    except PARSE_ERRORS:
        raise OtlpError(400, "the body cannot be read") from None
    return into


def serialize_message(message: Message, content_type: str) -> bytes:
    """Serialize a message in the given media type."""
    if content_type == JSON:
        return json_format.MessageToJson(message, indent=None).encode()
    return message.SerializeToString()


STATUS_CODES = {
    400: code_pb2.INVALID_ARGUMENT,
    404: code_pb2.NOT_FOUND,
    409: code_pb2.ALREADY_EXISTS,
    500: code_pb2.ABORTED,
    503: code_pb2.UNAVAILABLE,
}


def serialize_status(status: int, text: str, content_type: str) -> bytes:
    """Serialize the google.rpc.Status that corresponds to an HTTP status."""
    code = STATUS_CODES.get(status, code_pb2.INVALID_ARGUMENT)
    return serialize_message(status_pb2.Status(code=code, message=text), content_type)


def resource_attributes(signal: Signal, request: Message) -> Iterator[tuple[str, str]]:
    """Yield the name and value of every resource attribute that is a string, number or boolean."""
    for resource_entry in getattr(request, signal.resources_field):
        for attribute in resource_entry.resource.attributes:
            value_field = attribute.value.WhichOneof("value")
            if value_field in ("string_value", "int_value", "bool_value", "double_value"):
                yield attribute.key, str(getattr(attribute.value, value_field))
