"""Network I/O: byte streams with bounded buffers, HTTP/1.1 by h11, and the connection pool to endpoints."""
