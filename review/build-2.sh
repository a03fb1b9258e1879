#!/usr/bin/env bash
# Builds the stand-ins of the review cases from 6 on into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[678]/*.cc; do
  g++ -std=c++20 -O2 -pthread -o "target/review/$(basename "$source" .cc)" "$source" \
    review/fleet.cc review/links.cc review/rig.cc
done
