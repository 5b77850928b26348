#!/bin/sh
# Plays the case from the root of the repository; see review/stand-ins-2/cases/pairs.rs.
cd "$(dirname "$0")/../.." || exit 2
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
[ -x target/review-2/stand-ins ] || exit 2
exec target/review-2/stand-ins pairs review/6/record.txt
