#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11, review/13 and review/14 start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/standin-3 ./review/standin-3
