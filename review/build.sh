#!/usr/bin/env bash
# Builds the programs of the cases and their stand-ins, which need the standard library only,
# into target/review. Their sources lie in review/.src, a module of its own.
set -euo pipefail
cd "$(dirname "$0")/.src"
mkdir -p ../../target/review
go vet ./...
go build -o ../../target/review/ ./[0-9]*/ ./unfenced
