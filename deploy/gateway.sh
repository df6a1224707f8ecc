#!/bin/sh
# One gateway of the platform. The JVM's bounds come from the configuration's memory limit, before it starts. The shell's
# own means alone: where gateways run, no program may be started beside the one that is left at the end by exec.
mb=
if [ -r "${NODE_CONFIG:-}" ] && [ -f "$NODE_CONFIG" ]; then
    # JSON on one line or many, cut at its punctuation: the word after the name, whatever stands between, is the value.
    set -f
    IFS='{}[],: 	
'
    last=
    while [ -z "$mb" ] && { read -r line || [ -n "$line" ]; }; do
        for word in $line; do
            case $last$word in
                '"memory_mb"'[0-9]*) mb=${word%%[!0-9]*}; break ;;
            esac
            case $word in
                *[![:cntrl:]]*) last=$word ;; # The end of a line may have a carriage return.
            esac
        done
    done < "$NODE_CONFIG"
    unset IFS
fi
case $mb in
    # No file, or no limit that can be read: what the smallest gateways of the platform usually have.
    ''|??????*) mb=128 ;;
esac
while [ "${mb#0}" != "$mb" ] && [ -n "${mb#0}" ]; do
    mb=${mb#0} # A leading nought would make it octal.
done
[ "$mb" -gt 256 ] && mb=256
# What the JVM holds besides its heap: code, classes, stacks, the jar's index; measured at about 50 MB.
heap=$(( (mb - 52) * 3 / 4 ))
[ "$heap" -lt 10 ] && heap=10
export MALLOC_ARENA_MAX=1
exec java -Xms"${heap}m" -Xmx"${heap}m" -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CICompilerCount=1 \
    -XX:ReservedCodeCacheSize=16m -XX:MaxMetaspaceSize=40m -XX:MaxDirectMemorySize=6m -XX:SharedArchiveFile=target/cypressvalve.jsa \
    -Xlog:disable -Xlog:all=error:stderr -XX:-UsePerfData -XX:+DisableAttachMechanism -XX:+ExitOnOutOfMemoryError \
    -Djava.net.preferIPv4Stack=true -Djdk.nio.maxCachedBufferSize=16384 -cp target/cypressvalve.jar cypressvalve.Main serve
