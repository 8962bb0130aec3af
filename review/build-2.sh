#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/6 to review/9 start. It needs Go alone. The
# scripts also need the program that the build line of deploy/system.toml makes.
set -eu
cd "$(dirname "$0")/standin-2"
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOWORK=off go build -o ../../bin/standin-2 .
