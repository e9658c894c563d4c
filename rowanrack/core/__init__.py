"""The core: taken messages, their executions and their ends. No I/O, and no wire is known here."""
