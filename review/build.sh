#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python scripts that need the standard library alone, so this only checks
# that the interpreter is there and that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import glob
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in ["standins.py", *sorted(glob.glob("[0-9]/*.py"))]:
    with open(path) as file:
        ast.parse(file.read(), path)
PY
