#!/bin/sh
# Builds what the scripts of review/11 to review/15 start besides the programs of the deploy file. Their stand-ins are in
# Python (review/kit4.py, review/lots4.py, tests/proc/platform_kit.py) and need no build; this checks that they can be read.
set -eu
cd "$(dirname "$0")/.."
for f in review/kit4.py review/lots4.py review/1[1-5]/case.py tests/proc/platform_kit.py tests/proc/run_order.py; do
	[ -e "$f" ] || continue
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f"
done
