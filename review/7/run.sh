#!/usr/bin/env bash
# Plays the case on loopback addresses. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sniperill ] && [ -x target/review-2 ] || { echo "build first: the build line of deploy/system.toml and review/build-2.sh" >&2; exit 2; }
exec target/review-2 again review/7/record.txt
