#!/bin/sh
# One gateway of the platform. The JVM's bounds come from the configuration's memory limit, before it starts.
mb=$(sed -n 's/.*"memory_mb" *: *\([0-9]*\).*/\1/p' "${NODE_CONFIG:-/dev/null}" | head -n 1)
mb=${mb:-128}
[ "$mb" -gt 256 ] && mb=256
# What the JVM holds besides its heap: code, classes, stacks, the jar's index; measured at about 50 MB.
heap=$(( (mb - 52) * 3 / 4 ))
[ "$heap" -lt 10 ] && heap=10
export MALLOC_ARENA_MAX=1
exec java -Xms"${heap}m" -Xmx"${heap}m" -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CICompilerCount=1 \
    -XX:ReservedCodeCacheSize=16m -XX:MaxMetaspaceSize=40m -XX:MaxDirectMemorySize=6m -XX:SharedArchiveFile=target/cypressvalve.jsa -Xlog:disable -Xlog:all=error:stderr -XX:-UsePerfData \
    -XX:+ExitOnOutOfMemoryError -Djdk.nio.maxCachedBufferSize=16384 -cp target/cypressvalve.jar cypressvalve.Main serve
