#!/bin/sh
# Builds what the scripts of the third review start besides the program of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3 ./review/harness-3
