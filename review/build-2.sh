#!/usr/bin/env bash
# Builds the stand-ins of the cases from review/4 on into target/review-2/. It needs Go and no network: the module uses the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOWORK=off go build -buildvcs=false -o ../../target/review-2/standin-2 .
