package org.wheatwall.core.batch.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs that were decided on but whose starts have not been sent: they wait for their victims to end
 * or their workers to respond, or for the job log to acknowledge their record. A run that waits for
 * too long is abandoned, and its group waits again, for whatever capacity is free by then.
 */
final class PendingStarts {
  /**
   * Maximum wait for victims to end and for workers to respond, milliseconds; a stop takes less
   * than a second.
   */
  static final int MAX_LAUNCH_WAIT_MS = 1000;

  /**
   * Maximum wait for the job log to acknowledge a record, milliseconds; without an acknowledgement
   * a term may not act for that long.
   */
  static final int MAX_RECORD_WAIT_MS = 2500;

  // After a long scheduling pass, or while the term could not act, responses that have arrived are
  // not yet processed, so the time of one tick counts only up to this limit.
  private static final int MAX_COUNTED_PER_TICK_MS = 250;

  private final TermState term;
  private final RunLifecycle lifecycle;
  private final Map<GroupRun, Wait> waits = new LinkedHashMap<>();
  private long lastTickAtMs;

  /** How long a run has waited in its current state, before or after its launch. */
  private static final class Wait {
    private boolean launched;
    private long waitedMs;
  }

  PendingStarts(TermState term, RunLifecycle lifecycle) {
    this.term = term;
    this.lifecycle = lifecycle;
    this.lastTickAtMs = term.nowMs;
  }

  /** Adds a run that was decided on. */
  void add(GroupRun run) {
    waits.put(run, new Wait());
  }

  /** Abandons runs that have waited for too long. */
  void tick() {
    long elapsedMs = Math.min(MAX_COUNTED_PER_TICK_MS, term.nowMs - lastTickAtMs);
    lastTickAtMs = term.nowMs;
    waits.keySet().removeIf(run -> !isPending(run));
    for (GroupRun run : List.copyOf(waits.keySet())) {
      // Stopping one run can end its job, and with it other runs.
      if (isPending(run)) {
        updateWait(run, waits.get(run), elapsedMs);
      }
    }
  }

  private boolean isPending(GroupRun run) {
    boolean current = term.runs.ofGroup(run.group()).orElse(null) == run;
    return current && !run.stopping() && !run.allStartsSent();
  }

  private void updateWait(GroupRun run, Wait wait, long elapsedMs) {
    if (wait.launched != run.launched()) {
      wait.launched = run.launched();
      wait.waitedMs = 0;
    }
    wait.waitedMs += elapsedMs;
    if (run.launched() && wait.waitedMs >= MAX_RECORD_WAIT_MS) {
      lifecycle.stopRun(run, "not ordered " + wait.waitedMs + " ms after it was written down");
    } else if (!run.launched() && wait.waitedMs >= MAX_LAUNCH_WAIT_MS) {
      String cause =
          run.waitsForVictims()
              ? "what it waits for has not ended after "
              : "its workers have not responded after ";
      lifecycle.stopRun(run, cause + wait.waitedMs + " ms");
    }
  }
}
