#!/usr/bin/env bash
# Regenerates generated/briarwood/schema from schema/*.proto (needs protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I schema --cpp_out=generated/briarwood/schema schema/*.proto
