package org.wheatwall.core.job.shadow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wheatwall.core.job.decision.Decision;
import org.wheatwall.core.job.decision.EndReason;
import org.wheatwall.core.job.decision.HostState;
import org.wheatwall.core.job.decision.RunningAttempt;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * A candidate policy on the live inputs, deciding nothing. It starts from what runs and waits now,
 * sees the same submissions, cancellations and hosts as the active policies, and counts a job as
 * ended once it has held its place for as long as it really ran or, if it has not run yet, as long
 * as it is expected to. Stopped work loses its progress, as the worst case of a checkpoint.
 *
 * <p>Pure: the clock is passed in. Not thread-safe; the decision loop owns it.
 */
public final class ShadowRun {
  private static final long UNKNOWN = -1;

  private final PolicySpec spec;
  private final Scheduler scheduler;
  private final PolicyFigures candidate = new PolicyFigures();
  private final PolicyFigures active = new PolicyFigures();
  private final Map<String, Submitted> jobs = new HashMap<>();

  /** One job on both sides; forgotten once it has ended on both. */
  private static final class Submitted {
    private final Job job;
    private final long atMs;
    private long ranMs = UNKNOWN;
    private boolean endedHere;

    private Submitted(Job job, long atMs) {
      this.job = job;
      this.atMs = atMs;
    }
  }

  /** Starts a candidate beside {@code real}, the scheduler that decides. */
  public ShadowRun(PolicySpec spec, Scheduler real, SchedulerSettings settings) {
    this.spec = spec;
    this.scheduler = new Scheduler(settings);
    scheduler.setAttemptPrefix("shadow");
    scheduler.setPolicies(Map.of("candidate", spec.asActive()));
    hostsChanged(real);
    for (RunningAttempt attempt : real.running()) {
      jobs.put(attempt.jobName(), new Submitted(attempt.job(), attempt.submittedAtMs()));
      scheduler.adopt(
          attempt.attemptId(),
          attempt.jobName(),
          attempt.job(),
          attempt.submittedAtMs(),
          attempt.placement(),
          attempt.startedAtMs());
    }
    for (QueuedJob job : real.waiting()) {
      submitted(job.name(), job.job(), job.submittedAtMs());
    }
  }

  /** Returns the candidate. */
  public PolicySpec spec() {
    return spec;
  }

  /** Takes in hosts, workspaces and shapes as the deciding scheduler has them. */
  public void hostsChanged(Scheduler real) {
    List<String> gone = new ArrayList<>();
    scheduler.cluster().hosts().forEach(host -> gone.add(host.name()));
    for (HostState host : real.cluster().hosts()) {
      gone.remove(host.name());
      scheduler.cluster().add(host.host());
      scheduler.cluster().setUsable(host.name(), host.usable());
    }
    gone.forEach(scheduler.cluster()::remove);
    scheduler.setWorkspaces(real.workspaces());
    scheduler.setShapes(real.shapes());
    scheduler.hostsChanged();
  }

  /** Takes in a job; does nothing if it is known. */
  public void submitted(String name, Job job, long atMs) {
    if (jobs.putIfAbsent(name, new Submitted(job, atMs)) == null) {
      scheduler.submit(name, job, atMs);
    }
  }

  /** Takes in that a job was cancelled or failed for good. */
  public void withdrawn(String name, long nowMs) {
    Submitted submitted = jobs.get(name);
    if (submitted != null && submitted.ranMs == UNKNOWN) {
      scheduler
          .withdraw(name)
          .ifPresent(id -> scheduler.attemptEnded(id, EndReason.INTERRUPTED, nowMs));
      jobs.remove(name);
    }
  }

  /** Takes in that a job ended by itself, after it ran for {@code tookMs}. */
  public void succeeded(String name, long tookMs, long nowMs) {
    Submitted submitted = jobs.get(name);
    if (submitted == null || submitted.ranMs != UNKNOWN) {
      return;
    }
    submitted.ranMs = tookMs;
    scheduler.observeRun(submitted.job, tookMs);
    active.finished(nowMs - submitted.atMs);
    if (submitted.endedHere) {
      jobs.remove(name);
    }
  }

  /** Lets the candidate decide, for itself alone. */
  public void decide(double activeFragmentation, long nowMs) {
    active.observe(activeFragmentation, nowMs);
    candidate.observe(scheduler.cluster().fragmentation(), nowMs);
    endWhatIsDone(nowMs);
    for (Decision decision : scheduler.decide(nowMs)) {
      if (decision instanceof Decision.Stop stop) {
        interrupt(stop.attemptId(), nowMs);
      }
    }
  }

  private void endWhatIsDone(long nowMs) {
    for (RunningAttempt attempt : List.copyOf(scheduler.running())) {
      Submitted submitted = jobs.get(attempt.jobName());
      long endsMs =
          submitted.ranMs == UNKNOWN
              ? (long) attempt.expectedEndMs()
              : attempt.startedAtMs() + submitted.ranMs;
      if (endsMs <= nowMs) {
        candidate.finished(endsMs - submitted.atMs);
        scheduler.attemptEnded(attempt.attemptId(), EndReason.INTERRUPTED, endsMs);
        submitted.endedHere = true;
        if (submitted.ranMs != UNKNOWN) {
          jobs.remove(attempt.jobName());
        }
      }
    }
  }

  private void interrupt(String attemptId, long nowMs) {
    for (RunningAttempt attempt : List.copyOf(scheduler.running())) {
      if (attempt.attemptId().equals(attemptId)) {
        scheduler.attemptEnded(attemptId, EndReason.INTERRUPTED, nowMs);
        scheduler.submit(attempt.jobName(), attempt.job(), attempt.submittedAtMs());
      }
    }
  }

  /** Returns what the candidate would have achieved. */
  public PolicyFigures candidate() {
    return candidate;
  }

  /** Returns what the active policies achieved in the same time, on the same jobs. */
  public PolicyFigures active() {
    return active;
  }

  /** Returns how many jobs wait under the candidate. */
  public int waiting() {
    return scheduler.waiting().size();
  }
}
