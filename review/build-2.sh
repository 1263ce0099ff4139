#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the project's own programs. Standard library only.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/.stand-2
