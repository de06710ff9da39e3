#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off go build -o ../bin/ ./...
