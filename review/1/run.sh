#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
# A time-out ends the nodes too, which are in the same process group.
timeout -k 5 112 python3 review/1/case.py
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
