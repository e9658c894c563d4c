#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python of the standard library, compiled as a check that they can be run.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/stand_ins.py review/settings.py review/[0-9]*/case.py
