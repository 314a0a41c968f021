#!/usr/bin/env bash
# A request that crashes each upstream while it answers comes again and again. Needs target/blentry (build line of
# deploy/system.toml) and review/build-2.sh. Takes about 40 s. EARLY=1: the upstreams crash before they answer.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/blentry ] && [ -x target/review-2/_standin2 ] || { echo "build first" >&2; exit 2; }
exec target/review-2/_standin2 poison "$folder"
