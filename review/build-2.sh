#!/bin/sh
# Builds what the cases 6 to 10 start, after the build of deploy/balancer.toml and without a network: their stand-ins
# are Python programs (rig_2.py and each case.py), which need nothing but what that build has installed.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/rig_2.py
for number in 6 7 8 9 10; do
    test -d "review/$number" || continue
    .venv/bin/python -m py_compile "review/$number/case.py"
done
.venv/bin/python -c "import opentelemetry.proto.collector.logs.v1.logs_service_pb2, rowanrack"
.venv/bin/python -m rowanrack version
