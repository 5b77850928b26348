#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
[ -x target/review-3/stops ] && [ -x target/release/mustardshedd ] || exit 2
exec target/review-3/stops review/13/record.txt
