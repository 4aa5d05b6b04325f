#!/usr/bin/env bash
# Builds the stand-ins and judges of the second review, cases 6 to 10, into bin/review-2. They use the standard library and
# the stand-ins of the first review; no network is needed.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
mkdir -p ../../bin/review-2
export GOFLAGS= GOWORK=off GOTOOLCHAIN=local GOPROXY=off
go build -buildvcs=false -o ../../bin/review-2/play .
go build -buildvcs=false -o ../../bin/review-2/heir ./heir
go build -buildvcs=false -o ../../bin/review-2/cutoff ./cutoff
