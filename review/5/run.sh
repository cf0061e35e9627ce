#!/usr/bin/env bash
# Runs the case; see claim.txt.
set -u
cd "$(dirname "$0")/../.." || exit 2
exec target/review/case-5 review/5
