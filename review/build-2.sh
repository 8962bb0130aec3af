#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/6 to review/10 start. The scripts also need the
# program that the build line of deploy/system.toml makes.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/standin-2 ./review/standin-2
