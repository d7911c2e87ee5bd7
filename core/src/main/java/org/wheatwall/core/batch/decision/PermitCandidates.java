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
 * Selects the workers for which permits of a step are requested: those that can run it, the rack of
 * its data first, then racks by free capacity, most first, since gangs are placed within one rack.
 */
final class PermitCandidates {
  private PermitCandidates() {}

  /** Returns the workers that can run a step and have no permit request yet, best first. */
  static List<String> of(TermState term, BatchJob job, StepSpec step, StepPermits permits) {
    record Candidate(String worker, boolean inDataRack, int rackFree, String rack, int free) {}

    Map<String, Integer> freeByRack = new HashMap<>();
    for (RackState rack : term.scheduler.cluster().racks()) {
      freeByRack.put(rack.name(), rack.freeAccelerators());
    }
    List<Candidate> candidates = new ArrayList<>();
    for (WorkerRecord record : term.workers.all()) {
      WorkerInfo info = record.info().orElse(null);
      if (!record.usable() || permits.wasRequested(record.id()) || !canRun(info, job, step)) {
        continue;
      }
      String rack = Names.toValidName(info.rack());
      candidates.add(
          new Candidate(
              record.id(),
              step.dataRack().filter(info.rack()::equals).isPresent(),
              freeByRack.getOrDefault(rack, 0),
              rack,
              freeAcceleratorsOn(term, record.id())));
    }
    candidates.sort(
        Comparator.comparing((Candidate candidate) -> !candidate.inDataRack())
            .thenComparing(candidate -> -candidate.rackFree())
            .thenComparing(Candidate::rack)
            .thenComparing(candidate -> -candidate.free())
            .thenComparing(Candidate::worker));
    return candidates.stream().map(Candidate::worker).toList();
  }

  private static boolean canRun(WorkerInfo info, BatchJob job, StepSpec step) {
    ResourceAmount amount = step.taskAmount();
    boolean labelMatches = step.hostLabel().map(info.labels()::contains).orElse(true);
    return labelMatches && info.service().equals(job.service()) && info.capacity().covers(amount);
  }

  private static int freeAcceleratorsOn(TermState term, String worker) {
    return term.scheduler
        .cluster()
        .host(worker)
        .map(HostState::free)
        .map(ResourceAmount::accelerators)
        .orElse(0);
  }
}
