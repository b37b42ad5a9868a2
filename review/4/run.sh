#!/usr/bin/env bash
# Exits with 1 if the rule LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.."
test -x target/turmericwell && python3 -c "import tomllib" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec timeout -k 5 110 python3 review/4/case.py
