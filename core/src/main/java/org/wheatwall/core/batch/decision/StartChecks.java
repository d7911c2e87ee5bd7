package org.wheatwall.core.batch.decision;

import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Checks whether a run can start on the workers it was planned on. The checks are made before the
 * run is logged and again before its starts are sent, as seconds may pass in between.
 */
final class StartChecks {
  private final TermState term;

  StartChecks(TermState term) {
    this.term = term;
  }

  /** Returns why a run cannot start on its workers; empty if it can. */
  Optional<String> findObstacle(GroupRun run) {
    if (!term.evacuationsKnown) {
      return Optional.of("the evacuated zones are not known");
    }
    for (String worker : run.workers()) {
      WorkerState state =
          term.workers.find(worker).map(WorkerRecord::state).orElse(WorkerState.UNLISTED);
      if (state != WorkerState.USABLE) {
        return Optional.of("worker " + worker + " is " + state.text());
      }
    }
    if (!hasCapacity(run)) {
      return Optional.of("room has shrunk");
    }
    return term.permits.hasValidPermits(run) ? Optional.empty() : Optional.of("a permit lapsed");
  }

  /** Returns whether the operator allows starts on a worker, as far as this host knows. */
  boolean isAllowedOn(String worker) {
    boolean evacuated = term.workers.find(worker).filter(WorkerRecord::evacuated).isPresent();
    return term.evacuationsKnown && !evacuated;
  }

  // Not every worker refuses tasks that exceed its capacity.
  private boolean hasCapacity(GroupRun run) {
    return Set.copyOf(run.workers()).stream().allMatch(worker -> hasCapacityOn(worker, run));
  }

  /**
   * Returns whether the most recently announced capacity of a worker suffices for the tasks on it
   * and those of a run.
   */
  boolean hasCapacityOn(String worker, GroupRun run) {
    return term.workers.hasCapacityFor(worker, usageIncluding(run, worker));
  }

  private ResourceAmount usageIncluding(GroupRun run, String worker) {
    ResourceAmount usage = run.resourcesOn(worker);
    for (GroupRun other : term.runs.onWorker(worker)) {
      usage = other.launched() && other != run ? usage.plus(other.resourcesOn(worker)) : usage;
    }
    return usage;
  }
}
