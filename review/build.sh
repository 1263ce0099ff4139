#!/bin/sh
# Builds the stand-ins of the cases. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o target/review-stand ./review/stand
