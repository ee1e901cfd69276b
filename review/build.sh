#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The proxy itself is built with the build
# line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/standin
