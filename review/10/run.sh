#!/bin/sh
# Plays the case of this folder and writes record.txt beside this script. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
for program in target/release/driftfront target/release/driftfront-mock-servers target/review-2/case; do
    [ -x "$program" ] || { echo "not run: $program is not built"; exit 2; }
done
exec target/review-2/case error-after-rows "$folder"
