#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the second review, in the root of the
# repository, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/second ./review/6
