package org.wheatwall.app.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wheatwall.standin.task.TaskLedger;

/** Checks the invariants by comparing what hosts reported to callers with what workers ran. */
final class InvariantChecks {
  // The requirement is 3 s; the remaining 1 s allows for a busy machine and for commands that
  // workers carry out late.
  private static final int MAX_START_AFTER_CANCEL_MS = 4000;
  // A request that arrives while the process exits may meet a connection that is being closed.
  private static final int CLOSING_RACE_MS = 200;
  private static final int CRASHES_TO_FAIL_JOB = 2;
  private static final int CALM_BEFORE_STOP_MS = 4000;

  private final DisturbancePlan plan;
  private final TaskLedger ledger;
  private final Map<String, Long> lastStartMs = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();
  private final SweptTaskFinder sweptTasks;

  InvariantChecks(RunClock clock, DisturbancePlan plan, TaskLedger ledger) {
    this.plan = plan;
    this.ledger = ledger;
    for (TaskLedger.Event event : ledger.events()) {
      if (event.isStart()) {
        long atMs = clock.sinceStart(event.atMs());
        lastStartMs.merge(event.task().jobId(), atMs, Math::max);
      }
    }
    List<TaskLedger.Event> events =
        ledger.events().stream()
            .map(
                event ->
                    new TaskLedger.Event(
                        clock.sinceStart(event.atMs()),
                        event.worker(),
                        event.task(),
                        event.run(),
                        event.kind()))
            .toList();
    this.sweptTasks = new SweptTaskFinder(plan, events, clock.nowMs());
  }

  /** Checks what workers observed. */
  void checkWorkers() {
    ledger.violations().forEach(text -> violations.add(new Violation(Invariant.NEVER_TWICE, text)));
  }

  /** Checks one job. */
  void checkJob(ObservedJob job) {
    if (job.isRefused() && lastStartMs.containsKey(job.id())) {
      addViolation(Invariant.REFUSED_NEVER_RUNS, job, "was refused and ran");
    }
    if (job.isAccepted() && !job.cancelSent() && !hasExpectedEnd(job)) {
      addViolation(Invariant.ACCEPTED_IS_KEPT, job, "was last reported as " + job.lastState());
    }
    if (job.reportedMissingAtMs().isPresent()) {
      addViolation(
          Invariant.ACCEPTED_IS_KEPT,
          job,
          "was reported as nonexistent at " + job.reportedMissingAtMs());
    }
    if (job.cancelledAtMs().isPresent()) {
      checkCancelled(job, job.cancelledAtMs().getAsLong());
    }
    for (CallResult result : job.attempts()) {
      boolean refusedAsUnknown = result.status() >= 400 && result.status() < 429;
      if (refusedAsUnknown) {
        addViolation(Invariant.CALLER_IS_KNOWN, job, "was refused with status " + result.status());
      }
    }
  }

  // A job that crashes its workers must fail. A job may also fail if two workers crashed while they
  // ran the same task of it.
  private boolean hasExpectedEnd(ObservedJob job) {
    boolean crashedWorkers =
        ledger.workerCrashes().entrySet().stream()
            .anyMatch(
                crashes ->
                    crashes.getKey().jobId().equals(job.id())
                        && crashes.getValue() >= CRASHES_TO_FAIL_JOB);
    if (job.plan().crashesWorker()) {
      return job.hasFailed();
    }
    return job.hasSucceeded() || (job.hasFailed() && crashedWorkers);
  }

  private void checkCancelled(ObservedJob job, long cancelledAtMs) {
    long lastMs = lastStartMs.getOrDefault(job.id(), Long.MIN_VALUE);
    if (lastMs > cancelledAtMs + MAX_START_AFTER_CANCEL_MS) {
      addViolation(
          Invariant.CANCELLED_STARTS_NOTHING,
          job,
          "was cancelled at " + cancelledAtMs + " and started a task at " + lastMs);
    }
    sweptTasks
        .find(job.id(), cancelledAtMs)
        .forEach(text -> addViolation(Invariant.CANCELLED_IS_SWEPT, job, text));
  }

  /**
   * Checks that hosts responded to every request during a graceful shutdown, if no other
   * disturbance affected them.
   */
  void checkPlannedStops(List<CallResult> results) {
    for (CallResult result : results) {
      long tookMs = result.endedAtMs() - result.sentAtMs();
      boolean lost = result.isConnectionLost() && tookMs > CLOSING_RACE_MS;
      boolean stopping = plan.isStopping(result.host(), result.endedAtMs());
      long sinceMs = result.sentAtMs() - CALM_BEFORE_STOP_MS;
      boolean otherwiseCalm =
          plan.isCalm(result.host(), sinceMs, result.endedAtMs(), DisturbanceKind.HOST_STOPPED);
      if (lost && stopping && otherwiseCalm) {
        String text =
            "host "
                + result.host()
                + " closed the connection of a call after "
                + tookMs
                + " ms at ";
        violations.add(
            new Violation(Invariant.PLANNED_STOP_CUTS_NOTHING, text + result.endedAtMs()));
      }
    }
  }

  /** Returns the violations found so far. */
  List<Violation> violations() {
    return List.copyOf(violations);
  }

  private void addViolation(Invariant invariant, ObservedJob job, String observation) {
    violations.add(new Violation(invariant, "job " + job.id() + " " + observation));
  }
}
