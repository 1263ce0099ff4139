#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sniperill ] && [ -x target/review-stand ] || exit 2
exec target/review-stand large review/3
