#!/bin/sh
# The scripts of cases 7 to 10 start the two programs of the deploy file and, in Python, stand-ins of their own
# (review/kit2.py; review/kit3.py with tests/proc/platform_kit.py): nothing has to be built for them. Checks that the programs are there and these files can be parsed.
set -e
cd "$(dirname "$0")/.."
if ! test -x target/bin/auburn-control || ! test -x target/bin/auburn-front; then
	echo "build the deploy file first" >&2
	exit 1
fi
for file in review/kit2.py review/kit3.py review/[6-9]/case.py review/10/case.py; do
	test -e "$file" || continue
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
