#!/usr/bin/env bash
# All checks of the repository: format, line width of the policy, vet, staticcheck, tests under the race detector.
# It installs what they need beside Go: xmllint, which judges the operators' file by its schema.
set -euo pipefail
cd "$(dirname "$0")"
export GOFLAGS=-mod=mod GOTOOLCHAIN=local
if ! command -v xmllint >/dev/null; then
	if [ "$(id -u)" != 0 ]; then
		echo "xmllint is needed: apt-get install libxml2-utils" >&2
		exit 1
	fi
	{ apt-get update -qq && apt-get install -y -qq libxml2-utils; } >/dev/null
fi
unformatted=$(gofmt -l policy internal cmd example)
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted" >&2
	exit 1
fi
if grep -nE '^.{111,}' policy/policy.go policy/breaker.go; then
	echo "policy/policy.go, policy/breaker.go: lines over 110 characters" >&2
	exit 1
fi
# One program serves every deployment: no code may switch on the name of a site, an operator, a partner, a
# class, a kind or a zone of one. What a deployment needs is a property that its settings or lists state.
names='nairobi|lagos|savanna|heritage|rift-safaris|coast-tours|booking-msg|tour-update|ticket-payment|big-partner|partner-systems|main-office|guide-house|visitor-centre|nbo-dc1|rungkut|points-posting|balance-sync|halden-post|parcel-scan|door-notice|three-rivers|lab-result\b|bed-booking|meal-order|drug-charge|taxi-call'
if grep -rniE "$names" --include='*.go' --exclude='*_test.go' policy internal cmd; then
	echo "the lines above name a deployment's site, operator, partner, class, kind or zone" >&2
	exit 1
fi
go vet ./...
go tool staticcheck ./...
# Tests that fail for a real fault which is not fixed yet stand in KNOWN-RED.txt, one a line, after the package and
# between bars: command and seed, what was seen, issue. Exactly these are passed over, and printed; an entry that names
# no test is an error. Test/subtest passes over that subtest alone, such as a seed that CI does not play.
known_red() { # the names of a package's tests that are known to fail
	[ ! -f KNOWN-RED.txt ] || awk -v package="$1" '!/^#/ && $1 == package { print $2 }' KNOWN-RED.txt
}
skip_pattern() { # of go test, for the names given
	printf '%s\n' "$@" | sed 's|[^/]*|^&$|g' | paste -sd'|' -
}
run_tests() { # of the packages named
	local plain=() red
	for package in "${@}"; do
		red=$(known_red "$package")
		if [ -z "$red" ]; then
			plain+=("$package")
			continue
		fi
		for name in $red; do
			if ! go test -list "^${name%%/*}\$" "$package" | grep -x "${name%%/*}" >/dev/null; then
				echo "KNOWN-RED.txt: $package has no test $name" >&2
				exit 1
			fi
			echo "known red, passed over: $package $name"
		done
		# shellcheck disable=SC2086
		go test -race -count=1 -skip "$(skip_pattern $red)" "$package"
	done
	[ ${#plain[@]} = 0 ] || go test -race -count=1 "${plain[@]}"
}
# The small scale run times what a fleet of processes does: it runs when the other tests are over.
others=$(go list ./... | grep -v '^sliptide/internal/lab/scale$')
# shellcheck disable=SC2086
run_tests $others
run_tests sliptide/internal/lab/scale
