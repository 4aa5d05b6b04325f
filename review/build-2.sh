#!/usr/bin/env bash
# Builds the stand-ins and judges of the second review, cases 6 to 10. It needs the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-2 ./review/harness-2
