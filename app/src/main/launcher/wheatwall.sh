#!/bin/sh
# Starts wheatwall. The archive of classes follows this script in the same file.
# Memory settings keep a daemon inside its budget of 128 MB; see docs/design/process-memory.md.
case "$1" in
  entry) memory="-Xms16m -Xmx40m -XX:MaxDirectMemorySize=16m -XX:MaxMetaspaceSize=48m -XX:ReservedCodeCacheSize=24m -Xss384k -XX:TieredStopAtLevel=1" ;;
  serve) memory="-Xms24m -Xmx96m -XX:MaxDirectMemorySize=32m -XX:ReservedCodeCacheSize=32m -Xss384k -XX:TieredStopAtLevel=1 -Dlogback.configurationFile=logback-process.xml" ;;
  standin) memory="-Xmx64m -XX:MaxDirectMemorySize=32m -XX:ReservedCodeCacheSize=32m -Xss384k -XX:TieredStopAtLevel=1" ;;
  demo|load|compare) memory="-Xmx1g" ;;
  bench) memory="-Xmx1g -XX:TieredStopAtLevel=1 -XX:MarkSweepAlwaysCompactCount=1" ;;
  *) memory="-Xmx64m -XX:TieredStopAtLevel=1" ;;
esac
# A process that has run out of memory is ended, since it may have lost threads that renew or stop.
# shellcheck disable=SC2086
exec java -XX:+ExitOnOutOfMemoryError -XX:+UseSerialGC -Xshare:auto $memory -Dio.netty.allocator.numHeapArenas=1 -Dio.netty.allocator.numDirectArenas=1 \
  -Dio.netty.allocator.pageSize=4096 -Dio.netty.allocator.maxOrder=8 $WHEATWALL_JAVA_OPTIONS -jar "$0" "$@"
