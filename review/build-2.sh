#!/usr/bin/env bash
# Builds every stand-in that the cases from 4 on start: all are Python, so they
# are compiled and their imports are checked. Needs target/deps of the deploy
# file's build, no network and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo 'run the build of deploy/system.toml first' >&2; exit 2; }
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -S -m compileall -q standins review/lab2
python3 -S -c 'import standins.shared_store'
python3 -S review/lab2/worker.py --help > /dev/null
echo built
