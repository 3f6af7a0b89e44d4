#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs no network: they use
# the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go test -c -o target/review/world ./review/_world
