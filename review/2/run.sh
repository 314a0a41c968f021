#!/usr/bin/env bash
# Runs the case: three upstreams leave, one after the other, and each has an entry of another writer with its address. With TROUBLE=0 they leave
# without such entries.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/blentry ] && [ -x target/review-standin ] || { echo "target/blentry or target/review-standin isn't built"; exit 2; }
exec timeout -k 5 118 target/review-standin foreign review/2
