#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/catkinrun && test -x target/catkinrun-standin && test -x target/review-2 || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
exec target/review-2 -out review/10 watchers
