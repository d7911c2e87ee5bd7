package org.wheatwall.entry.batch.log;

import java.util.concurrent.Executor;
import org.wheatwall.entry.batch.LoopTimer;
import org.wheatwall.entry.common.LoopCallbacks;

/**
 * Finds out when a log that failed responds again. A log that does not respond holds each call
 * until it times out, so probes are sent without waiting for each other's responses. They request
 * no records: reads of the same records that overlap would share the link, and none would complete
 * in time.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class LogProbe {
  // Callers have 3 s, and retry until then.
  private static final int INTERVAL_MS = 200;

  private final KeyedLog log;
  private final Executor loop;
  private final LoopTimer timer;
  private int series;
  private boolean active;

  LogProbe(KeyedLog log, Executor loop, LoopTimer timer) {
    this.log = log;
    this.loop = loop;
    this.timer = timer;
  }

  /** Starts to probe; runs the task once, at the first response. */
  void start(Runnable onResponse) {
    active = true;
    int started = ++series;
    timer.after(INTERVAL_MS, () -> probe(started, onResponse));
  }

  /** Stops probing. */
  void stop() {
    active = false;
  }

  private void probe(int started, Runnable onResponse) {
    if (!active || started != series) {
      return;
    }
    LoopCallbacks.whenDone(
        log.end(),
        loop,
        (end, failure) -> {
          if (failure == null && active && started == series) {
            active = false;
            onResponse.run();
          }
        });
    timer.after(INTERVAL_MS, () -> probe(started, onResponse));
  }
}
