"""The core: taken messages, their attempts and their ends. No I/O, and no wire is known here."""
