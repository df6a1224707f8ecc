#!/bin/sh
# Once, after the jar is built: an archive of the classes that a gateway loads, which halves the time of its start.
# Without it, or with one of another JVM or jar, a gateway starts all the same.
NODE_CONFIG=deploy/archive.json MALLOC_ARENA_MAX=1 java -XX:ArchiveClassesAtExit=target/cypressvalve.jsa -Xlog:cds=off \
    -Xlog:cds+dynamic=off -Xmx32m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp target/cypressvalve.jar cypressvalve.Main serve-archive \
    > target/archive.log 2>&1 || rm -f target/cypressvalve.jsa
