"""The platform front: RESP2 for clients, HTTP calls to endpoints, notices, and the discovery watch."""

FRONT_NAME = "platform"
