#!/bin/sh
# Exit code 1: the rule was broken. 0: it held. 2: the case could not run. TROUBLE=0 leaves the disruption out.
# After the build of deploy/balancer.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/cypressvalve.jar ] || [ ! -f target/review-2/Case8.class ]; then
    echo "build first: deploy/balancer.toml, then review/build-2.sh"
    exit 2
fi
exec env TROUBLE="${TROUBLE:-1}" java -cp target/review-2 Case8 review/8/record.txt
