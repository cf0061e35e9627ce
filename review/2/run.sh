#!/usr/bin/env bash
# Runs the case; see claim.txt. With TROUBLE=0 it runs without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}" exec target/review/case-2 review/2
