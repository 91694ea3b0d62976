#!/usr/bin/env bash
# The stand-ins of the scripts are in Python and need no build; this checks that
# they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
