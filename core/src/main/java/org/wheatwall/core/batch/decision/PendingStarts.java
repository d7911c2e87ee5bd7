package org.wheatwall.core.batch.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs that wait for the end of what is stopped for them. One that waits for too long is given up,
 * and its group waits again, for any room that there is by then.
 */
final class PendingStarts {
  /** The longest wait for what is stopped, milliseconds; stops take up to 0.9 s at the users. */
  static final int LONGEST_FOR_VICTIMS_MS = 1000;

  // After a look that took long, or while the term could not act, answers are not taken in yet.
  private static final int MOST_COUNTED_A_TICK_MS = 250;

  private final TermState term;
  private final RunLifecycle lifecycle;
  private final Map<GroupRun, Long> waits = new LinkedHashMap<>();
  private long tickedAtMs;

  PendingStarts(TermState term, RunLifecycle lifecycle) {
    this.term = term;
    this.lifecycle = lifecycle;
    this.tickedAtMs = term.nowMs;
  }

  /** Adds a run that was decided on. */
  void add(GroupRun run) {
    waits.put(run, 0L);
  }

  /** Gives up what has waited for too long. */
  void tick() {
    long passedMs = Math.min(MOST_COUNTED_A_TICK_MS, term.nowMs - tickedAtMs);
    tickedAtMs = term.nowMs;
    waits.keySet().removeIf(run -> !isPending(run));
    for (GroupRun run : List.copyOf(waits.keySet())) {
      // The end of one run may end the job of another.
      if (isPending(run)) {
        count(run, passedMs);
      }
    }
  }

  private boolean isPending(GroupRun run) {
    boolean current = term.runs.of(run.group()).orElse(null) == run;
    return current && !run.stopping() && !run.launched();
  }

  private void count(GroupRun run, long passedMs) {
    long waitedMs = waits.merge(run, passedMs, Long::sum);
    if (waitedMs >= LONGEST_FOR_VICTIMS_MS) {
      lifecycle.stopRun(run, "what it waits for has not ended after " + waitedMs + " ms");
    }
  }
}
