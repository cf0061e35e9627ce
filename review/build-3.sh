#!/bin/bash
# Builds the program of the scripted cases of the third review, with all of their stand-ins, in
# the root of the repository, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/third ./review/11
