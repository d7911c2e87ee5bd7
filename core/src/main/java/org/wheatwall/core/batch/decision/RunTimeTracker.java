package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.job.decision.HostSpeeds;
import org.wheatwall.core.job.decision.RunTimeRatios;

/**
 * Measures the run times of single tasks, by worker, from the records of the job log. Every entry
 * host reads these records, so the next decider has learned the same host speeds without an
 * exchange of messages or additional records. The decider also measures run time ratios by
 * progress; a run measured in this way is not measured again by its end.
 *
 * <p>Gangs are not measured, because their tasks end together and do not show the speed of a single
 * worker. Not thread-safe; owned by the decision loop.
 */
public final class RunTimeTracker {
  // Further runs are not measured; this many are enough.
  private static final int MAX_OPEN_RUNS = 20_000;
  // A run time also contains the time until the records of its start and end are read.
  private static final int RUN_TIME_ERROR_MS = 200;

  private final boolean learnsRatios;
  private final HostSpeeds hostSpeeds = new HostSpeeds();
  private final RunTimeRatios runTimeRatios = new RunTimeRatios();
  private final Map<GroupKey, OpenRun> openRuns = new HashMap<>();

  private record OpenRun(int run, String worker, long sinceMs, boolean ratioMeasured) {}

  /** Creates a tracker that learns no run time ratios. */
  public RunTimeTracker() {
    this(false);
  }

  /**
   * Creates a tracker.
   *
   * @param learnsRatios whether run time ratios are learned from ended runs
   */
  public RunTimeTracker(boolean learnsRatios) {
    this.learnsRatios = learnsRatios;
  }

  /** Returns the unique name of the step that a group of tasks belongs to. */
  static String stepName(GroupKey group) {
    return group.jobId() + "." + group.occurrence() + "." + group.step();
  }

  /** Returns the measured run time ratios; all 1 if they are not learned. */
  public RunTimeRatios runTimeRatios() {
    return runTimeRatios;
  }

  /** Does not measure the run time ratio of a run by its end, as it has been measured otherwise. */
  void skipRatioOf(GroupKey group, int run) {
    openRuns.computeIfPresent(
        group,
        (key, open) ->
            open.run() == run ? new OpenRun(run, open.worker(), open.sinceMs(), true) : open);
  }

  /** Returns the measured host speeds. */
  public HostSpeeds hostSpeeds() {
    return hostSpeeds;
  }

  /**
   * Processes a group record of the job log.
   *
   * @param state empty if the record was dropped
   * @param nowMs when the record was read, milliseconds of the monotonic clock
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

  /** Discards open runs, whose records may have been read late or whose ends reported late. */
  public void discardOpenRuns() {
    openRuns.clear();
  }

  private void onRunStarted(GroupKey group, GroupState state, long nowMs) {
    OpenRun openRun = openRuns.get(group);
    if (openRun != null && openRun.run() == state.run()) {
      return;
    }
    boolean measurable = state.checkpoint().isEmpty() && state.members().size() == 1;
    if (measurable && group.index() != GroupKey.WHOLE_STEP && openRuns.size() < MAX_OPEN_RUNS) {
      openRuns.put(group, new OpenRun(state.run(), state.members().get(0).worker(), nowMs, false));
    } else {
      openRuns.remove(group);
    }
  }

  private void onRunDone(GroupKey group, GroupState state, long nowMs) {
    OpenRun run = openRuns.remove(group);
    if (run != null && run.run() == state.run()) {
      String step = stepName(group);
      long runMs = nowMs - run.sinceMs();
      hostSpeeds.observe(step, run.worker(), runMs);
      if (learnsRatios && !run.ratioMeasured()) {
        runTimeRatios.observeEnd(step, run.worker(), runMs, RUN_TIME_ERROR_MS, nowMs);
      }
    }
  }
}
