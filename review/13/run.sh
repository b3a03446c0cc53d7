#!/bin/sh
# Writes record.txt beside it. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. With TROUBLE=0 it does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -x target/cranberrytack ] || [ ! -x target/rig-3 ]; then
	echo "build deploy/system.toml and run review/build-3.sh first" >&2
	exit 2
fi
TROUBLE=${TROUBLE:-1} exec target/rig-3 beat target/cranberrytack "$folder/record.txt"
