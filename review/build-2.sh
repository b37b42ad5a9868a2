#!/bin/sh
# Prepares what the scripts of review/6 to review/10 start beside target/turmericwell. All stand-ins are Python files, of
# this review (review/common-2) and of the project (tools/lab): they are compiled here, which shows that they can run.
set -e
cd "$(dirname "$0")/.."
test -x target/turmericwell || { echo "target/turmericwell is missing: run the build of deploy/system.toml" >&2; exit 1; }
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
python3 -m compileall -q review/common-2 tools/lab/cluster.py tools/lab/httpstandin.py tools/lab/storestandin.py tools/lab/__init__.py
