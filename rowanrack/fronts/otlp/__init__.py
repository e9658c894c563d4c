"""The OTLP front: export requests from clients, and calls to OTLP servers."""

FRONT = "otlp"


class OtlpError(Exception):
    """A request that is not taken as it is; the status and the text are for the client."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
