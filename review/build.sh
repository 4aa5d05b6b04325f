#!/bin/sh
# Builds the stand-ins of all cases into bin/review. They use the standard library alone; no network is needed.
set -eu
cd "$(dirname "$0")/harness"
mkdir -p ../../bin/review
GOFLAGS= GOWORK=off GOTOOLCHAIN=local GOPROXY=off exec go build -o ../../bin/review/ ./cmd/...
