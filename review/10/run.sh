#!/usr/bin/env bash
# A request that makes each upstream lose power comes again and again. Needs target/blentry (build line of
# deploy/system.toml) and review/build-2.sh. Takes about 40 s.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/blentry ] && [ -x target/review-2/_standin2 ] || { echo "build first" >&2; exit 2; }
exec target/review-2/_standin2 dark "$folder"
