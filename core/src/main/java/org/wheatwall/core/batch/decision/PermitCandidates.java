package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.job.decision.HostState;
import org.wheatwall.core.job.decision.RackState;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Selects the workers for which permits of a step are requested: those that can run it, the rack of
 * its data first, then those with room for a task, by racks with most free capacity, since gangs
 * are placed within one rack.
 */
final class PermitCandidates {
  private final TermState term;
  private final BatchJob job;
  private final StepSpec step;

  PermitCandidates(TermState term, BatchJob job, StepSpec step) {
    this.term = term;
    this.job = job;
    this.step = step;
  }

  /** Returns the workers that can run the step and have no permit request yet, best first. */
  List<String> notRequested(StepPermits permits) {
    return bestFirst(record -> record.usable() && !permits.wasRequested(record.id()));
  }

  /** Returns those of the given workers that are still listed, best first. */
  List<String> listedAmong(Set<String> workers) {
    return workers.isEmpty()
        ? List.of()
        : bestFirst(record -> record.listed() && workers.contains(record.id()));
  }

  private List<String> bestFirst(Predicate<WorkerRecord> selected) {
    record Candidate(
        String worker, boolean inDataRack, boolean hasRoom, int rackFree, String rack, int free) {}

    Map<String, Integer> freeByRack = new HashMap<>();
    for (RackState rack : term.scheduler.cluster().racks()) {
      freeByRack.put(rack.name(), rack.freeAccelerators());
    }
    List<Candidate> candidates = new ArrayList<>();
    for (WorkerRecord record : term.workers.all()) {
      WorkerInfo info = record.info().orElse(null);
      if (info == null || !selected.test(record) || !canRun(info)) {
        continue;
      }
      String rack = Names.toValidName(info.rack());
      candidates.add(
          new Candidate(
              record.id(),
              step.dataRack().filter(info.rack()::equals).isPresent(),
              hasRoom(record.id()),
              freeByRack.getOrDefault(rack, 0),
              rack,
              free(record.id()).accelerators()));
    }
    candidates.sort(
        Comparator.comparing((Candidate candidate) -> !candidate.inDataRack())
            .thenComparing(candidate -> !candidate.hasRoom())
            .thenComparing(candidate -> -candidate.rackFree())
            .thenComparing(Candidate::rack)
            .thenComparing(candidate -> -candidate.free())
            .thenComparing(Candidate::worker));
    return candidates.stream().map(Candidate::worker).toList();
  }

  /** Returns whether a worker has room for a task of the step now. */
  boolean hasRoom(String worker) {
    return free(worker).covers(step.taskAmount());
  }

  /** Returns whether the given workers together have room for a group of the step now. */
  boolean haveRoomForGroup(Set<String> workers) {
    long tasks = 0;
    for (String worker : workers) {
      tasks += free(worker).countFitting(step.taskAmount());
    }
    return tasks >= step.tasksInGroup();
  }

  private boolean canRun(WorkerInfo info) {
    ResourceAmount amount = step.taskAmount();
    boolean labelMatches = step.hostLabel().map(info.labels()::contains).orElse(true);
    return labelMatches && info.service().equals(job.service()) && info.capacity().covers(amount);
  }

  private ResourceAmount free(String worker) {
    return term.scheduler.cluster().host(worker).map(HostState::free).orElse(ResourceAmount.ZERO);
  }
}
