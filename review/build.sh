#!/usr/bin/env bash
# Builds the stand-ins of the review into review/bin/. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/standin .
