"""Fault-injection tests with real processes: senders, stand-ins for other services, and links that can fail.

Starts a fleet on one machine, injects faults and checks the outcome: the processes (`fleet`), their links
(`links`), the stand-ins (`partners`, `discovery`, `clients`), their books (`books`), the rules that are
checked on the books (`checker`, `log_rules`), and scenarios with their plans (`scenario`, `plan`). Production
code does not import this package.
"""
