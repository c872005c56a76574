#!/usr/bin/env bash
# Build the stand-ins of the cases after the build command of the deploy file.
# They are Python and use its libraries only: compile them and try their imports.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -m compileall -q standins review
python3 -c 'import standins.shared_store, review.common.main'
