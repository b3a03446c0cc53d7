#!/bin/sh
# Builds the stand-ins of the third review's scripts into target/.
cd "$(dirname "$0")/.." || exit 1
exec go build -tags review -o target/rig-3 ./review/rig-3
