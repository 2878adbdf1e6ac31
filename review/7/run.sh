#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exit 1: the rule was broken, 0: it held, 2: could not run.
exec python3 "$(dirname "$0")/case.py"
