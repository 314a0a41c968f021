#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. The program under test is built with the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/_standin2
