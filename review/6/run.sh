#!/usr/bin/env bash
# Runs the case; TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../lib-2 timeout -k 5 112 python3 -B case.py "$PWD"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
