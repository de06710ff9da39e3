#!/bin/sh
# Builds the stand-ins of the second review's scripts. It needs no network: the module has
# no dependencies.
set -e
cd "$(dirname "$0")/.."
root=$(pwd)
cd review/stand2
GOWORK=off go build -o "$root/target/review-2/stand2" .
