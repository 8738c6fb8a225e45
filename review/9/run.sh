#!/usr/bin/env bash
# Some peers send improper request targets; endpoints run them in a form that nobody sent.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")"
if [ ! -x ../../bin/review-2 ]; then
	echo "bin/review-2 is missing: run review/build-2.sh" >&2
	exit 2
fi
exec ../../bin/review-2 improper-peers .
