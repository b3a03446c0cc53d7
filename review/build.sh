#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The daemon is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/rig ./review/rig
