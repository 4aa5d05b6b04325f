#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Writes what was sent, answered and run to record.txt beside this script.
cd "$(dirname "$0")" || exit 2
record=$PWD/record.txt
: > "$record" || exit 2
program=../../bin/review/unacked
[ -x "$program" ] && [ -x ../../bin/sliptide ] || {
	echo "could not run: build the program and review/build.sh first" | tee "$record" >&2
	exit 2
}
exec "$program" "$record"
