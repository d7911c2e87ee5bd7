package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.job.decision.HostPaces;

/**
 * Measures from the records of the job log how long single tasks ran, and on which worker. Every
 * entry host reads those records, so whoever decides next has learned the same, without a message
 * or a record of its own.
 *
 * <p>Tasks of gangs end together and tell nothing of a single worker. Not thread-safe; the decision
 * loop owns it.
 */
public final class RunTimeTracker {
  // Runs beyond these are not measured; enough of them are.
  private static final int MAX_OPEN_RUNS = 20_000;

  private final HostPaces hostSpeeds = new HostPaces();
  private final Map<GroupKey, OpenRun> openRuns = new HashMap<>();

  private record OpenRun(int run, String worker, long sinceMs) {}

  /** Returns how fast workers are. */
  public HostPaces hostSpeeds() {
    return hostSpeeds;
  }

  /**
   * Takes in what the log says about a group.
   *
   * @param state empty if its record was dropped
   * @param nowMs when the record was read, milliseconds of the steady clock
   */
  public void onGroupRecord(GroupKey group, Optional<GroupState> state, long nowMs) {
    if (state.isEmpty()) {
      openRuns.remove(group);
      return;
    }
    switch (state.get().phase()) {
      case ACTIVE -> onRunStarted(group, state.get(), nowMs);
      case DONE -> onRunDone(group, state.get(), nowMs);
      case WAITING, FAILED -> openRuns.remove(group);
    }
  }

  /** Forgets the runs under way: records were read late, or their ends may have been heard late. */
  public void discardOpenRuns() {
    openRuns.clear();
  }

  private void onRunStarted(GroupKey group, GroupState state, long nowMs) {
    OpenRun known = openRuns.get(group);
    if (known != null && known.run() == state.run()) {
      return;
    }
    boolean whole = state.checkpoint().isEmpty() && state.members().size() == 1;
    if (whole && group.index() != GroupKey.WHOLE_STEP && openRuns.size() < MAX_OPEN_RUNS) {
      openRuns.put(group, new OpenRun(state.run(), state.members().get(0).worker(), nowMs));
    } else {
      openRuns.remove(group);
    }
  }

  private void onRunDone(GroupKey group, GroupState state, long nowMs) {
    OpenRun run = openRuns.remove(group);
    if (run != null && run.run() == state.run()) {
      String step = group.jobId() + "." + group.occurrence() + "." + group.step();
      hostSpeeds.observe(step, run.worker(), nowMs - run.sinceMs());
    }
  }
}
