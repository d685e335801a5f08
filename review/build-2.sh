#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/ ./cmd/catkinrun-standin
go build -o target/review-2 ./review/_standin-2
