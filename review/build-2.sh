#!/usr/bin/env bash
# Builds the stand-ins and clients of the second review's scripts. The program under test is
# built with the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review2 -o target/review-2/harness-2 ./review/harness-2
