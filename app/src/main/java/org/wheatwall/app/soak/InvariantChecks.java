package org.wheatwall.app.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wheatwall.standin.task.TaskLedger;

/** Holds what callers were told against what workers have done. */
final class InvariantChecks {
  // The users ask for 3 s; the rest bears a busy machine and orders that workers carry out late.
  private static final int MAX_START_AFTER_CANCEL_MS = 4000;
  // A request that comes as the process ends may find its connection closing.
  private static final int CLOSING_RACE_MS = 200;
  private static final int CRASHES_TO_FAIL_JOB = 2;
  private static final int CALM_BEFORE_STOP_MS = 4000;

  private final DisturbancePlan plan;
  private final TaskLedger ledger;
  private final Map<String, Long> lastStartMs = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();

  InvariantChecks(RunClock clock, DisturbancePlan plan, TaskLedger ledger) {
    this.plan = plan;
    this.ledger = ledger;
    for (TaskLedger.Event event : ledger.events()) {
      if (event.isStart()) {
        long atMs = clock.sinceStart(event.atMs());
        lastStartMs.merge(event.task().jobId(), atMs, Math::max);
      }
    }
  }

  /** Checks what workers saw. */
  void checkWorkers() {
    ledger.violations().forEach(text -> violations.add(new Violation(Invariant.NEVER_TWICE, text)));
  }

  /** Checks one job. */
  void checkJob(ObservedJob job) {
    if (job.isRefused() && lastStartMs.containsKey(job.id())) {
      addViolation(Invariant.REFUSED_NEVER_RUNS, job, "was refused and ran");
    }
    if (job.isAccepted() && !job.cancelSent() && !hasExpectedEnd(job)) {
      addViolation(Invariant.ACCEPTED_IS_KEPT, job, "is last shown as " + job.lastState());
    }
    if (job.reportedMissingAtMs().isPresent()) {
      addViolation(
          Invariant.ACCEPTED_IS_KEPT, job, "is said not to exist at " + job.reportedMissingAtMs());
    }
    if (job.cancelledAtMs().isPresent()) {
      checkCancelled(job, job.cancelledAtMs().getAsLong());
    }
    for (CallResult answer : job.attempts()) {
      boolean told = answer.status() >= 400 && answer.status() < 429;
      if (told) {
        addViolation(Invariant.CALLER_IS_KNOWN, job, "was answered " + answer.status());
      }
    }
  }

  // A job that crashes its workers is given up; so may be one under a task of which two crashed.
  private boolean hasExpectedEnd(ObservedJob job) {
    boolean metCrashes =
        ledger.crashesUnder().entrySet().stream()
            .anyMatch(
                under ->
                    under.getKey().jobId().equals(job.id())
                        && under.getValue() >= CRASHES_TO_FAIL_JOB);
    if (job.plan().crashesWorker()) {
      return job.hasFailed();
    }
    return job.hasSucceeded() || (job.hasFailed() && metCrashes);
  }

  private void checkCancelled(ObservedJob job, long cancelledAtMs) {
    long lastMs = lastStartMs.getOrDefault(job.id(), Long.MIN_VALUE);
    if (lastMs > cancelledAtMs + MAX_START_AFTER_CANCEL_MS) {
      addViolation(
          Invariant.CANCELLED_STARTS_NOTHING,
          job,
          "was cancelled at " + cancelledAtMs + " and started a task at " + lastMs);
    }
  }

  /** Checks that planned stops answered what they had read, as far as nothing else went on. */
  void checkPlannedStops(List<CallResult> answers) {
    for (CallResult answer : answers) {
      long tookMs = answer.endedAtMs() - answer.sentAtMs();
      boolean cut = answer.isConnectionLost() && tookMs > CLOSING_RACE_MS;
      boolean stopping = plan.isStopping(answer.host(), answer.endedAtMs());
      long sinceMs = answer.sentAtMs() - CALM_BEFORE_STOP_MS;
      boolean otherwiseCalm =
          plan.isCalm(answer.host(), sinceMs, answer.endedAtMs(), DisturbanceKind.HOST_STOPPED);
      if (cut && stopping && otherwiseCalm) {
        String text = "host " + answer.host() + " cut a call of " + tookMs + " ms at ";
        violations.add(
            new Violation(Invariant.PLANNED_STOP_CUTS_NOTHING, text + answer.endedAtMs()));
      }
    }
  }

  /** Returns what was found. */
  List<Violation> violations() {
    return List.copyOf(violations);
  }

  private void addViolation(Invariant promise, ObservedJob job, String what) {
    violations.add(new Violation(promise, "job " + job.id() + " " + what));
  }
}
