#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
exec java -Xmx512m -Dsun.net.httpserver.nodelay=true -cp target/review-2 \
  review.LateCancel "$folder/record.txt"
