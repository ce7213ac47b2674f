#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:.:review/shared-3 PYTHONDONTWRITEBYTECODE=1 \
    exec python3 -W ignore review/15/case.py
