#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python files of this folder and of tools/lab, so this only compiles them
# to check that the interpreter reads them.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import ast, pathlib
for path in [*pathlib.Path("review").rglob("*.py"), *pathlib.Path("tools/lab").glob("*.py")]:
    ast.parse(path.read_text(), str(path))
import tomllib
END
test -x target/turmericwell || { echo "target/turmericwell is missing: run the build line of deploy/system.toml" >&2; exit 1; }
