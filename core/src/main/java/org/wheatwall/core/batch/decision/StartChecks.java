package org.wheatwall.core.batch.decision;

import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * What must hold for a run to start on the workers that it was planned on: looked at before it is
 * written down and again before it is ordered, as seconds may pass between.
 */
final class StartChecks {
  private final TermState term;

  StartChecks(TermState term) {
    this.term = term;
  }

  /** Returns why a run cannot start on its workers now, though it was planned there. */
  Optional<String> obstacleTo(GroupRun run) {
    for (String worker : run.workers()) {
      WorkerState state =
          term.workers.find(worker).map(WorkerRecord::state).orElse(WorkerState.UNLISTED);
      if (state != WorkerState.USABLE) {
        return Optional.of("worker " + worker + " is " + state.text());
      }
    }
    if (!hasRoom(run)) {
      return Optional.of("room has shrunk");
    }
    return term.permits.hasValidPermits(run) ? Optional.empty() : Optional.of("a permit lapsed");
  }

  // Not every worker refuses what it has no room for.
  private boolean hasRoom(GroupRun run) {
    return Set.copyOf(run.workers()).stream().allMatch(worker -> hasRoomOn(worker, run));
  }

  /** Returns whether a worker, by its newest word, has room for what runs there and for a run. */
  boolean hasRoomOn(String worker, GroupRun run) {
    return term.workers.hasCapacityFor(worker, takenWith(run, worker));
  }

  private ResourceAmount takenWith(GroupRun run, String worker) {
    ResourceAmount taken = run.amountOn(worker);
    for (GroupRun other : term.runs.on(worker)) {
      taken = other.launched() && other != run ? taken.plus(other.amountOn(worker)) : taken;
    }
    return taken;
  }
}
