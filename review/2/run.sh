#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption (the servers stay sound) and must pass.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps"
exec python3 review/2/scenario.py
