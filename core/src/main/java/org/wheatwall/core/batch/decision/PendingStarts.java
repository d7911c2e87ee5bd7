package org.wheatwall.core.batch.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs that were decided on and not ordered yet: they wait for the end of what is stopped for them,
 * or for their record to be kept. One that waits for too long is given up, and its group waits
 * again, for any room that there is by then.
 */
final class PendingStarts {
  /** The longest wait for what is stopped, milliseconds; a stop takes most of a second at most. */
  static final int MAX_VICTIM_WAIT_MS = 1000;

  /** The longest wait for a record, milliseconds; a term may not act for that long without one. */
  static final int MAX_RECORD_WAIT_MS = 2500;

  // After a look that took long, or while the term could not act, answers are not taken in yet.
  private static final int MAX_COUNTED_PER_TICK_MS = 250;

  private final TermState term;
  private final RunLifecycle lifecycle;
  private final Map<GroupRun, Wait> waits = new LinkedHashMap<>();
  private long lastTickAtMs;

  /** How long a run has waited, before or after it was written down. */
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

  /** Gives up what has waited for too long. */
  void tick() {
    long passedMs = Math.min(MAX_COUNTED_PER_TICK_MS, term.nowMs - lastTickAtMs);
    lastTickAtMs = term.nowMs;
    waits.keySet().removeIf(run -> !isPending(run));
    for (GroupRun run : List.copyOf(waits.keySet())) {
      // The end of one run may end the job of another.
      if (isPending(run)) {
        addWaitingTime(run, waits.get(run), passedMs);
      }
    }
  }

  private boolean isPending(GroupRun run) {
    boolean current = term.runs.ofGroup(run.group()).orElse(null) == run;
    return current && !run.stopping() && !run.allStartsSent();
  }

  private void addWaitingTime(GroupRun run, Wait wait, long passedMs) {
    if (wait.launched != run.launched()) {
      wait.launched = run.launched();
      wait.waitedMs = 0;
    }
    wait.waitedMs += passedMs;
    if (run.launched() && wait.waitedMs >= MAX_RECORD_WAIT_MS) {
      lifecycle.stopRun(run, "not ordered " + wait.waitedMs + " ms after it was written down");
    } else if (!run.launched() && wait.waitedMs >= MAX_VICTIM_WAIT_MS) {
      lifecycle.stopRun(run, "what it waits for has not ended after " + wait.waitedMs + " ms");
    }
  }
}
