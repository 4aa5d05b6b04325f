#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
program=../../bin/review/unacked
[ -x "$program" ] && [ -x ../../bin/sliptide ] || { echo "build the program and review/build.sh first" >&2; exit 2; }
exec "$program" .
