#!/usr/bin/env bash
# An unanswered grant, the end of the coordinator's process and a SIGTERM of its successor. Needs target/blentry (build line of
# deploy/system.toml) and review/build-2.sh. Takes about 20 s.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/blentry ] && [ -x target/review-2/_standin2 ] || { echo "build first" >&2; exit 2; }
exec target/review-2/_standin2 owner "$folder"
