#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/cases ./review/_standin
