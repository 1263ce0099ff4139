#!/bin/sh
# Builds the stand-ins of the cases. Run after the build of the deploy file. They speak the platform's
# protocol, whose names the project's tests allow in platform/ only. A folder whose name begins with a dot
# counts as no part of the source, for these tests and for ./... alike.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-stand review/.stand/*.go
