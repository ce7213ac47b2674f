#!/bin/sh
# Builds what the scripts of the second review start: the stand-ins are Python modules,
# which need what the build of the deploy file has put under target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review/shared-2 \
    python3 -W ignore -c "import harness, silent_gate, slow_reader, standins.engines, stream_worker"
