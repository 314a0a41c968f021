#!/usr/bin/env bash
# A machine with a pipelined read gets SIGTERM and takes an order 3.2 s later. Needs target/blentry (build line of
# deploy/system.toml) and review/build-2.sh. Takes about 15 s.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/blentry ] && [ -x target/review-2/_standin2 ] || { echo "build first" >&2; exit 2; }
exec target/review-2/_standin2 stop "$folder"
