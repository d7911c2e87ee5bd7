package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.PermitResponse;
import org.wheatwall.core.batch.model.StepKey;
import org.wheatwall.core.batch.model.StepSpec;

/**
 * Requests permits for the steps of queues that need them, and restricts the scheduler to permitted
 * workers. Permits of a step are requested as soon as it may start: first for the workers with most
 * free capacity, then for further ones while the step waits, and again for permitted workers: for
 * those with room once no others have room for a group, for all once no permit is left.
 */
final class PermitManager {
  // Deployments budget one request for so many workers into the time of a step.
  private static final int FIRST_REQUEST_WORKERS = 30;
  // Some workers are refused and some are busy, so permits are requested for more than are needed.
  private static final int SPARE_FACTOR = 2;
  private static final int REQUEST_MORE_AFTER_MS = 500;

  private final TermState term;
  private final Map<StepKey, StepPermits> steps = new HashMap<>();
  private Set<String> queues = Set.of();

  PermitManager(TermState term) {
    this.term = term;
  }

  /** Sets the queues whose steps need permits, and updates the waiting groups in the scheduler. */
  void setQueues(Set<String> next) {
    if (queues.equals(next)) {
      return;
    }
    queues = Set.copyOf(next);
    steps.clear();
    for (JobProgress progress : term.jobs.values()) {
      for (GroupKey group : List.copyOf(progress.waiting())) {
        if (term.scheduler.isWaiting(group.text())) {
          addGroup(progress.job(), group);
          term.scheduler.updateWaiting(group.text(), term.toSchedulerJob(progress, group));
        }
      }
    }
  }

  boolean needsPermits(BatchJob job) {
    return queues.contains(job.queue());
  }

  /** Adds a group that is about to be submitted to the scheduler. */
  void addGroup(BatchJob job, GroupKey group) {
    if (!needsPermits(job)) {
      return;
    }
    StepKey key = StepKey.of(group);
    StepPermits permits = steps.computeIfAbsent(key, step -> new StepPermits());
    permits.groups().add(group);
    if (permits.requestedCount() == 0 && !permits.requestPending()) {
      request(job, key, permits);
    }
  }

  /** Returns the workers on which a group may be placed now, or empty if it may be on any. */
  Optional<Set<String>> permittedWorkers(BatchJob job, GroupKey group) {
    if (!needsPermits(job)) {
      return Optional.empty();
    }
    StepPermits permits = steps.get(StepKey.of(group));
    return Optional.of(permits == null ? Set.of() : permits.plannableWorkers(term.nowMs));
  }

  /**
   * Returns the workers that count when a rack is sought for a gang, or empty if all count. All
   * count until permits were requested for every candidate: a gang is spread over racks only if no
   * rack can hold it.
   */
  Optional<Set<String>> rackWorkers(BatchJob job, GroupKey group) {
    StepPermits permits = steps.get(StepKey.of(group));
    boolean allRequested =
        needsPermits(job)
            && permits != null
            && permits.requestedCount() > 0
            && new PermitCandidates(term, job, job.steps().get(group.step()))
                .notRequested(permits)
                .isEmpty();
    return allRequested ? Optional.of(permits.grantedWorkers()) : Optional.empty();
  }

  /**
   * Returns whether all start commands of a run launched now arrive before their permits expire.
   */
  boolean hasValidPermits(GroupRun run) {
    StepPermits permits = steps.get(StepKey.of(run.group()));
    return !needsPermits(run.job())
        || (permits != null
            && run.workers().stream().allMatch(worker -> permits.isValid(worker, term.nowMs)));
  }

  /** Returns the permit that a start command has to carry, or empty if none is needed or known. */
  Optional<String> permitText(GroupRun run, String worker) {
    return Optional.ofNullable(steps.get(StepKey.of(run.group())))
        .flatMap(permits -> permits.permitText(worker));
  }

  /** Records that a worker refused the permit of a start command. */
  void onRefused(GroupRun run, String worker) {
    StepPermits permits = steps.get(StepKey.of(run.group()));
    if (permits != null) {
      permits.onRefused(worker);
    }
  }

  /** Marks all permits as expired; those still needed are requested again. */
  void expireAll() {
    steps.values().forEach(StepPermits::expireAll);
  }

  /**
   * Processes the response to a permit request.
   *
   * @param response empty if the request failed
   * @param sentAtMs when the request was sent, milliseconds
   */
  void onResponse(PermitRequest request, Optional<PermitResponse> response, long sentAtMs) {
    StepPermits permits = steps.get(request.step());
    JobProgress progress = term.jobs.get(request.step().jobId());
    if (permits == null || progress == null) {
      return;
    }
    if (response.isEmpty()) {
      permits.onRequestFailed(term.nowMs);
      return;
    }
    permits.onResponse(request, response.get(), sentAtMs, term.nowMs);
    term.logEvent(
        RunEvent.Kind.PERMITS_KNOWN,
        request.step().jobId(),
        request.step().occurrence() + "." + request.step().step(),
        response.get().permitByWorker().size()
            + " of "
            + request.workers().size()
            + " workers for "
            + response.get().validMs()
            + " ms");
    updateGroups(progress, permits);
  }

  /** Repeats or extends requests of steps that still wait, and applies expired permits. */
  void tick() {
    for (Map.Entry<StepKey, StepPermits> entry : List.copyOf(steps.entrySet())) {
      StepPermits permits = entry.getValue();
      permits.groups().removeIf(group -> !term.scheduler.isWaiting(group.text()));
      JobProgress progress = term.jobs.get(entry.getKey().jobId());
      if (progress == null || isDone(progress, entry.getKey())) {
        steps.remove(entry.getKey());
      } else if (!permits.groups().isEmpty()) {
        if (permits.refreshPlannable(term.nowMs)) {
          updateGroups(progress, permits);
        }
        if (!permits.requestPending()) {
          request(progress.job(), entry.getKey(), permits);
        }
      }
    }
  }

  private static boolean isDone(JobProgress progress, StepKey key) {
    return progress.isStepDone(key.occurrence(), key.step());
  }

  /** Describes the permits of a group for operators; empty if it needs none. */
  Optional<String> explain(BatchJob job, GroupKey group) {
    if (!needsPermits(job)) {
      return Optional.empty();
    }
    StepPermits permits = steps.get(StepKey.of(group));
    int requested = permits == null ? 0 : permits.requestedCount();
    int usable = permits == null ? 0 : permits.plannableWorkers(term.nowMs).size();
    return Optional.of("permits for " + usable + " workers now, " + requested + " were asked for");
  }

  private void updateGroups(JobProgress progress, StepPermits permits) {
    permits.refreshPlannable(term.nowMs);
    for (GroupKey group : permits.groups()) {
      term.scheduler.updateWaiting(group.text(), term.toSchedulerJob(progress, group));
    }
    term.dirty = true;
  }

  private void request(BatchJob job, StepKey key, StepPermits permits) {
    List<String> workers = workersToRequest(job, key, permits);
    if (workers.isEmpty()) {
      return;
    }
    permits.onRequestSent(term.nowMs);
    term.effects.requestPermits(new PermitRequest(key, workers, job.urgent()));
  }

  private List<String> workersToRequest(BatchJob job, StepKey key, StepPermits permits) {
    StepSpec step = job.steps().get(key.step());
    PermitCandidates candidates = new PermitCandidates(term, job, step);
    Set<String> renewable = permits.renewableWorkers(term.nowMs);
    if (permits.plannableWorkers(term.nowMs).isEmpty()) {
      List<String> listed = candidates.listedAmong(renewable);
      if (!listed.isEmpty()) {
        return firstOf(listed, PermitRequest.MAX_WORKERS);
      }
    }
    boolean tooEarly = term.nowMs - permits.lastResponseMs() < REQUEST_MORE_AFTER_MS;
    if (permits.requestedCount() > 0 && tooEarly) {
      return List.of();
    }
    renewable.removeIf(worker -> !candidates.hasRoom(worker));
    if (!candidates.haveRoomForGroup(permits.lastingWorkers(term.nowMs))) {
      List<String> withRoom = candidates.listedAmong(renewable);
      if (!withRoom.isEmpty()) {
        return firstOf(withRoom, PermitRequest.MAX_WORKERS);
      }
    }
    return firstOf(candidates.notRequested(permits), workersWanted(step));
  }

  private static List<String> firstOf(List<String> workers, int limit) {
    return workers.subList(0, Math.min(limit, workers.size()));
  }

  // In the worst case each worker has capacity for a single task.
  private static int workersWanted(StepSpec step) {
    long workersWanted = Math.max(FIRST_REQUEST_WORKERS, (long) SPARE_FACTOR * step.tasksInGroup());
    return (int) Math.min(PermitRequest.MAX_WORKERS, workersWanted);
  }
}
