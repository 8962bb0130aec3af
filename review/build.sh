#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs Go alone.
set -eu
cd "$(dirname "$0")/standin"
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOWORK=off go build -o ../bin/standin .
