package org.wheatwall.entry.batch.log;

import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.entry.batch.LoopTimer;
import org.wheatwall.entry.common.Clock;
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
  private static final Logger LOG = LoggerFactory.getLogger(LogProbe.class);
  // Callers have 3 s, and retry until then.
  private static final int INTERVAL_MS = 200;
  // Between two log lines about a log that does not respond.
  private static final int LOG_INTERVAL_MS = 5000;

  private final String name;
  private final KeyedLog log;
  private final Executor loop;
  private final LoopTimer timer;
  private final Clock clock;
  private int series;
  private boolean active;
  private int failures;
  private long startedAtMs;
  private long loggedAtMs;

  /**
   * Creates a probe that is not active.
   *
   * @param name name of the log, for operators
   */
  LogProbe(String name, KeyedLog log, Executor loop, LoopTimer timer, Clock clock) {
    this.name = name;
    this.log = log;
    this.loop = loop;
    this.timer = timer;
    this.clock = clock;
  }

  /** Starts to probe; runs the task once, at the first response. */
  void start(Runnable onResponse) {
    active = true;
    int started = ++series;
    failures = 0;
    startedAtMs = clock.nowMs();
    loggedAtMs = startedAtMs;
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
          if (!active || started != series) {
            return;
          }
          if (failure == null) {
            active = false;
            onResponse.run();
          } else {
            onFailure(LogFailure.of(failure));
          }
        });
    timer.after(INTERVAL_MS, () -> probe(started, onResponse));
  }

  // The first failure is logged by the follower. A log that refuses calls and one that does not
  // respond have different causes, and the one may become the other.
  private void onFailure(LogFailure failure) {
    failures++;
    long nowMs = clock.nowMs();
    if (nowMs - loggedAtMs >= LOG_INTERVAL_MS) {
      loggedAtMs = nowMs;
      LOG.warn(
          "event=log-still-lost log={} forMs={} failedProbes={} cause={}",
          name,
          nowMs - startedAtMs,
          failures,
          failure.toString());
    }
  }
}
