#!/bin/bash
# Builds the stand-ins and clients of the scripts of the third review into target/review3/.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review3/ ./review/harness3
