#!/usr/bin/env bash
# Runs this case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
for program in target/cranberrytack target/review-2/rig-2; do
	[ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/review-2/rig-2 second-move target/cranberrytack "$here/record.txt"
