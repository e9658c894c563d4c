"""A lab of real processes: senders, stand-ins for partners, discovery and clients, and links that can fail.

Owns how a fleet is started on one machine, hurt and judged: the processes (`fleet`), their links (`links`),
the stand-ins (`partners`, `discovery`, `clients`), their books (`books`), the rules read from these
(`checker`), and scenarios with their plans (`scenario`, `plan`). Nothing that serves imports it.
"""
