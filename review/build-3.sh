#!/bin/sh
# Builds what the scripts of this review start besides the deploy file's programs. The
# stand-ins are Python modules that use target/deps, so nothing has to be compiled.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
PYTHONPATH=target/deps:.:review/shared-3 PYTHONDONTWRITEBYTECODE=1 python3 -W ignore -c "
import lab, servers, harmful_part
"
