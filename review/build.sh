#!/usr/bin/env bash
# Builds the program that plays the cases, with all stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/harness ./review/harness
