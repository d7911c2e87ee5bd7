package org.wheatwall.app.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Limits the processor time of the hosts as a machine with a part of a core does: a host that has
 * used its quota of a period is stopped until the next period begins.
 */
final class ProcessorQuota implements Runnable, AutoCloseable {
  private static final int PERIOD_MS = 100;
  private static final int CHECK_INTERVAL_MS = 10;
  private static final int MS_PER_CLOCK_TICK = 10;
  private static final int PERCENT = 100;
  // Fields of /proc/PID/stat after the name of the program, counted from 0.
  private static final int USER_TICKS_FIELD = 11;
  private static final int SYSTEM_TICKS_FIELD = 12;

  private final List<SoakHost> hosts;
  private final int quotaMs;
  private final long[] usedMsAtPeriodStart;
  private final Thread thread = new Thread(this, "processor-quota");
  private volatile boolean closed;

  /** Creates a quota of {@code percent} of a processor for each of the hosts; not started yet. */
  ProcessorQuota(List<SoakHost> hosts, int percent) {
    this.hosts = hosts;
    this.quotaMs = PERIOD_MS * percent / PERCENT;
    this.usedMsAtPeriodStart = new long[hosts.size()];
  }

  void start() {
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void run() {
    for (int step = 0; !closed; step++) {
      for (int i = 0; i < hosts.size(); i++) {
        // The periods of the hosts begin at different times, as on separate machines.
        boolean periodStarts = (step + i) % (PERIOD_MS / CHECK_INTERVAL_MS) == 0;
        check(i, periodStarts);
      }
      Pause.ms(CHECK_INTERVAL_MS);
    }
  }

  private void check(int number, boolean periodStarts) {
    SoakHost host = hosts.get(number);
    Optional<Long> usedMs = host.processId().flatMap(ProcessorQuota::usedMs);
    if (usedMs.isEmpty()) {
      usedMsAtPeriodStart[number] = 0;
    } else if (periodStarts) {
      usedMsAtPeriodStart[number] = usedMs.get();
      host.release(SoakHost.StopCause.OUT_OF_PROCESSOR_TIME);
    } else if (usedMs.get() - usedMsAtPeriodStart[number] >= quotaMs) {
      host.hold(SoakHost.StopCause.OUT_OF_PROCESSOR_TIME);
    }
  }

  private static Optional<Long> usedMs(long processId) {
    try {
      Path file = Path.of("/proc", String.valueOf(processId), "stat");
      String text = new String(Files.readAllBytes(file), StandardCharsets.ISO_8859_1);
      String[] fields = text.substring(text.lastIndexOf(')') + 2).split(" ", -1);
      long ticks =
          Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
      return Optional.of(ticks * MS_PER_CLOCK_TICK);
    } catch (IOException ended) {
      // The process ended after its identifier was read.
      return Optional.empty();
    }
  }

  @Override
  public void close() {
    closed = true;
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    hosts.forEach(host -> host.release(SoakHost.StopCause.OUT_OF_PROCESSOR_TIME));
  }
}
