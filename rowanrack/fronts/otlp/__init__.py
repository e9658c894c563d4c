"""The OTLP front: export requests from clients, and calls to OTLP servers."""

FRONT = "otlp"
