#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 with the JDK alone, into target/review-2. After the build of deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 2
rm -rf target/review-2 && mkdir -p target/review-2 || exit 2
exec javac --release 17 -Xlint:all -d target/review-2 review/standin-2/*.java review/6/*.java review/7/*.java review/8/*.java review/9/*.java review/10/*.java
