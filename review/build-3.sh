#!/usr/bin/env bash
# Builds the stand-ins of the third review. It needs no network and no library, and the
# build of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/stand3"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-stand3 .
