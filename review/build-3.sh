#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and the later folders start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/standin-3 ./review/standin-3
