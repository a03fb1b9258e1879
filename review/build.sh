#!/usr/bin/env bash
# Builds the stand-ins of the review cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
jobs=()
for source in review/[1-5]/*.cc; do
  g++ -std=c++20 -O2 -pthread -o "target/review/$(basename "$source" .cc)" "$source" review/rig.cc &
  jobs+=($!)
done
status=0
for job in "${jobs[@]}"; do wait "$job" || status=1; done
exit "$status"
