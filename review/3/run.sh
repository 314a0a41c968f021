#!/usr/bin/env bash
# Runs the case: upstreams leave without reporting it, one after the other, while the coordinator is partitioned from the store for 1.9 s.
# With TROUBLE=0 they leave and nothing is partitioned.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/blentry ] && [ -x target/review-standin ] || { echo "target/blentry or target/review-standin isn't built"; exit 2; }
exec timeout -k 5 118 target/review-standin drain review/3
