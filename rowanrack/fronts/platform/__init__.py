"""The platform's front: RESP2 from clients, /inbox to instances, notices and the discovery watch."""

FRONT = "platform"
