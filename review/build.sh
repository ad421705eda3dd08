#!/bin/sh
# Builds every stand-in that a case starts. All are Python programs that need only the standard library (3.11 or later), so
# there is nothing to compile: this checks that the interpreter is there and that each of them can be read.
set -eu
cd "$(dirname "$0")"
PYTHON=$(command -v /usr/bin/python3 || command -v python3)
"$PYTHON" - <<'CHECK'
import ast, pathlib, sys, tomllib  # noqa: F401
assert sys.version_info >= (3, 11), sys.version
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("ok", path)
CHECK
