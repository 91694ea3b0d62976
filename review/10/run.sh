#!/usr/bin/env bash
# Runs the case; TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../lib-2 exec timeout -k 5 118 python3 -B case.py "$PWD"
