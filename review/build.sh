#!/usr/bin/env bash
# Prepares the stand-ins of the review's scripts, after the build of the deploy file.
# They are Python, so this only checks that all of them can be loaded.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.common.plain, review.common.prompts"
