package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.job.decision.HostSpeeds;

/**
 * Measures from the records of the job log how long single tasks ran, and on which worker. Every
 * entry host reads those records, so whoever decides next has learned the same, without a message
 * or a record of its own.
 *
 * <p>Tasks of gangs end together and tell nothing of a single worker. Not thread-safe; the decision
 * loop owns it.
 */
public final class RunTimes {
  // Runs beyond these are not measured; enough of them are.
  private static final int MOST_OPEN = 20_000;

  private final HostSpeeds paces = new HostSpeeds();
  private final Map<GroupKey, OpenRun> open = new HashMap<>();

  private record OpenRun(int run, String worker, long sinceMs) {}

  /** Returns how fast workers are. */
  public HostSpeeds paces() {
    return paces;
  }

  /**
   * Takes in what the log says about a group.
   *
   * @param state empty if its record was dropped
   * @param nowMs when the record was read, milliseconds of the steady clock
   */
  public void read(GroupKey group, Optional<GroupState> state, long nowMs) {
    if (state.isEmpty()) {
      open.remove(group);
      return;
    }
    switch (state.get().phase()) {
      case ACTIVE -> began(group, state.get(), nowMs);
      case DONE -> done(group, state.get(), nowMs);
      case WAITING, FAILED -> open.remove(group);
    }
  }

  /** Forgets the runs under way: records were read late, or their ends may have been heard late. */
  public void interrupted() {
    open.clear();
  }

  private void began(GroupKey group, GroupState state, long nowMs) {
    OpenRun known = open.get(group);
    if (known != null && known.run() == state.run()) {
      return;
    }
    boolean whole = state.checkpoint().isEmpty() && state.members().size() == 1;
    if (whole && group.index() != GroupKey.WHOLE_STEP && open.size() < MOST_OPEN) {
      open.put(group, new OpenRun(state.run(), state.members().get(0).worker(), nowMs));
    } else {
      open.remove(group);
    }
  }

  private void done(GroupKey group, GroupState state, long nowMs) {
    OpenRun run = open.remove(group);
    if (run != null && run.run() == state.run()) {
      String step = group.jobId() + "." + group.occurrence() + "." + group.step();
      paces.observe(step, run.worker(), nowMs - run.sinceMs());
    }
  }
}
