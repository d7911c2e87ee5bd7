package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.job.decision.HostState;
import org.wheatwall.core.job.decision.RackState;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * The workers for which a permit of a step is worth asking: those that can run it, racks with most
 * room first, since gangs stay within one, and the rack of the data before all.
 */
final class PermitCandidates {
  private PermitCandidates() {}

  /** Returns the workers that can run a step and were not asked for yet, best first. */
  static List<String> of(TermState term, BatchJob job, StepSpec step, StepPermits permits) {
    record Candidate(String worker, boolean atData, int rackRoom, String rack, int room) {}

    Map<String, Integer> roomByRack = new HashMap<>();
    for (RackState rack : term.scheduler.cluster().racks()) {
      roomByRack.put(rack.name(), rack.freeAccelerators());
    }
    List<Candidate> candidates = new ArrayList<>();
    for (WorkerRecord record : term.workers.all()) {
      WorkerInfo info = record.info().orElse(null);
      if (!record.usable() || permits.wasAsked(record.id()) || !canRun(info, job, step)) {
        continue;
      }
      String rack = Names.toValidName(info.rack());
      candidates.add(
          new Candidate(
              record.id(),
              step.dataRack().filter(info.rack()::equals).isPresent(),
              roomByRack.getOrDefault(rack, 0),
              rack,
              freeOn(term, record.id())));
    }
    candidates.sort(
        Comparator.comparing((Candidate candidate) -> !candidate.atData())
            .thenComparing(candidate -> -candidate.rackRoom())
            .thenComparing(Candidate::rack)
            .thenComparing(candidate -> -candidate.room())
            .thenComparing(Candidate::worker));
    return candidates.stream().map(Candidate::worker).toList();
  }

  private static boolean canRun(WorkerInfo info, BatchJob job, StepSpec step) {
    ResourceAmount amount = step.taskAmount();
    boolean labelled = step.hostLabel().map(info.labels()::contains).orElse(true);
    return labelled && info.service().equals(job.service()) && info.capacity().covers(amount);
  }

  private static int freeOn(TermState term, String worker) {
    return term.scheduler
        .cluster()
        .host(worker)
        .map(HostState::free)
        .map(ResourceAmount::accelerators)
        .orElse(0);
  }
}
