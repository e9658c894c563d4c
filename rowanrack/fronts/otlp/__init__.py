"""The OTLP front: accepts export requests from clients and makes calls to OTLP servers."""

FRONT_NAME = "otlp"


class OtlpError(Exception):
    """Raised for a request that is rejected; the status and the text are sent to the client."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
