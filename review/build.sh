#!/bin/sh
# Builds the stand-ins of the cases: plain Java, no dependency. The gateway itself is built by the deploy file.
cd "$(dirname "$0")" && rm -rf target && mkdir -p target/standin && javac -Xlint:-options --release 17 -d target/standin standin/*.java
