#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
program=../../target/review-2/release/case6
[ -x "$program" ] || { echo "run review/build-2.sh first"; exit 2; }
exec "$program" .
