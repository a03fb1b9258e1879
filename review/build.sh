#!/usr/bin/env bash
# Builds the stand-ins of the review cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/rig/*.cc; do
  name=$(basename "$source" .cc)
  [ "$name" = rig ] && continue
  g++ -std=c++20 -O2 -pthread -o "target/review/$name" "$source" review/rig/rig.cc &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit "$status"
