#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_standin-3
