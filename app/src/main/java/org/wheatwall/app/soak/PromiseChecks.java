package org.wheatwall.app.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wheatwall.standin.task.TaskLedger;

/** Holds what callers were told against what workers have done. */
final class PromiseChecks {
  // The users ask for 3 s; the rest bears a busy machine and orders that workers carry out late.
  private static final int CANCEL_MS = 4000;
  // A request that comes as the process ends may find its connection closing.
  private static final int CROSSING_MS = 200;
  private static final int CRASHES_TO_GIVE_UP = 2;
  private static final int CALM_BEFORE_STOP_MS = 4000;

  private final DisturbancePlan plan;
  private final TaskLedger ledger;
  private final Map<String, Long> lastStartMs = new HashMap<>();
  private final List<Violation> found = new ArrayList<>();

  PromiseChecks(RunClock clock, DisturbancePlan plan, TaskLedger ledger) {
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
    ledger.violations().forEach(text -> found.add(new Violation(Promise.NEVER_TWICE, text)));
  }

  /** Checks one job. */
  void checkJob(JobFacts job) {
    if (job.refused() && lastStartMs.containsKey(job.id())) {
      note(Promise.REFUSED_NEVER_RUNS, job, "was refused and ran");
    }
    if (job.accepted() && !job.cancelSent() && !endedAsItMay(job)) {
      note(Promise.ACCEPTED_IS_KEPT, job, "is last shown as " + job.lastState());
    }
    if (job.saidGoneAtMs().isPresent()) {
      note(Promise.ACCEPTED_IS_KEPT, job, "is said not to exist at " + job.saidGoneAtMs());
    }
    if (job.cancelledAtMs().isPresent()) {
      checkCancelled(job, job.cancelledAtMs().getAsLong());
    }
    for (CallerAnswer answer : job.attempts()) {
      boolean told = answer.status() >= 400 && answer.status() < 429;
      if (told) {
        note(Promise.CALLER_IS_KNOWN, job, "was answered " + answer.status());
      }
    }
  }

  // A job that crashes its workers is given up; so may be one under a task of which two crashed.
  private boolean endedAsItMay(JobFacts job) {
    boolean metCrashes =
        ledger.workerCrashes().entrySet().stream()
            .anyMatch(
                under ->
                    under.getKey().jobId().equals(job.id())
                        && under.getValue() >= CRASHES_TO_GIVE_UP);
    if (job.plan().crashesWorker()) {
      return job.failed();
    }
    return job.succeeded() || (job.failed() && metCrashes);
  }

  private void checkCancelled(JobFacts job, long cancelledAtMs) {
    long lastMs = lastStartMs.getOrDefault(job.id(), Long.MIN_VALUE);
    if (lastMs > cancelledAtMs + CANCEL_MS) {
      note(
          Promise.CANCELLED_STARTS_NOTHING,
          job,
          "was cancelled at " + cancelledAtMs + " and started a task at " + lastMs);
    }
  }

  /** Checks that planned stops answered what they had read, as far as nothing else went on. */
  void checkPlannedStops(List<CallerAnswer> answers) {
    for (CallerAnswer answer : answers) {
      long tookMs = answer.endedAtMs() - answer.sentAtMs();
      boolean cut = answer.cut() && tookMs > CROSSING_MS;
      boolean stopping = plan.isStopping(answer.host(), answer.endedAtMs());
      long sinceMs = answer.sentAtMs() - CALM_BEFORE_STOP_MS;
      boolean otherwiseCalm =
          plan.isCalm(answer.host(), sinceMs, answer.endedAtMs(), DisturbanceKind.HOST_STOPPED);
      if (cut && stopping && otherwiseCalm) {
        String text = "host " + answer.host() + " cut a call of " + tookMs + " ms at ";
        found.add(new Violation(Promise.PLANNED_STOP_CUTS_NOTHING, text + answer.endedAtMs()));
      }
    }
  }

  /** Returns what was found. */
  List<Violation> found() {
    return List.copyOf(found);
  }

  private void note(Promise promise, JobFacts job, String what) {
    found.add(new Violation(promise, "job " + job.id() + " " + what));
  }
}
