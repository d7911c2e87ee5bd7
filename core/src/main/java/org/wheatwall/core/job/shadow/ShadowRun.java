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
  private final PolicyMetrics candidate = new PolicyMetrics();
  private final PolicyMetrics active = new PolicyMetrics();
  private final Map<String, TrackedJob> jobs = new HashMap<>();

  /** One job on both sides; forgotten once it has ended on both. */
  private static final class TrackedJob {
    private final Job job;
    private final long atMs;
    private long ranMs = UNKNOWN;
    private boolean endedHere;

    private TrackedJob(Job job, long atMs) {
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
    onHostsChanged(real);
    for (RunningAttempt attempt : real.running()) {
      jobs.put(attempt.jobName(), new TrackedJob(attempt.job(), attempt.submittedAtMs()));
      scheduler.adopt(
          attempt.attemptId(),
          attempt.jobName(),
          attempt.job(),
          attempt.submittedAtMs(),
          attempt.placement(),
          attempt.startedAtMs());
    }
    for (QueuedJob job : real.waiting()) {
      onSubmitted(job.name(), job.job(), job.submittedAtMs());
    }
  }

  /** Returns the candidate. */
  public PolicySpec spec() {
    return spec;
  }

  /** Takes in hosts, workspaces and shapes as the deciding scheduler has them. */
  public void onHostsChanged(Scheduler real) {
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
  public void onSubmitted(String name, Job job, long atMs) {
    if (jobs.putIfAbsent(name, new TrackedJob(job, atMs)) == null) {
      scheduler.submit(name, job, atMs);
    }
  }

  /** Takes in that a job was cancelled or failed for good. */
  public void onWithdrawn(String name, long nowMs) {
    TrackedJob submitted = jobs.get(name);
    if (submitted != null && submitted.ranMs == UNKNOWN) {
      scheduler
          .withdraw(name)
          .ifPresent(id -> scheduler.attemptEnded(id, EndReason.INTERRUPTED, nowMs));
      jobs.remove(name);
    }
  }

  /** Takes in that a job ended by itself, after it ran for {@code tookMs}. */
  public void onSucceeded(String name, long tookMs, long nowMs) {
    TrackedJob submitted = jobs.get(name);
    if (submitted == null || submitted.ranMs != UNKNOWN) {
      return;
    }
    submitted.ranMs = tookMs;
    scheduler.observeRun(submitted.job, tookMs);
    active.recordCompletion(nowMs - submitted.atMs);
    if (submitted.endedHere) {
      jobs.remove(name);
    }
  }

  /** Lets the candidate decide, for itself alone. */
  public void decide(double activeFragmentation, long nowMs) {
    active.recordFragmentation(activeFragmentation, nowMs);
    candidate.recordFragmentation(scheduler.cluster().fragmentation(), nowMs);
    endCompletedAttempts(nowMs);
    for (Decision decision : scheduler.decide(nowMs)) {
      if (decision instanceof Decision.Stop stop) {
        interrupt(stop.attemptId(), nowMs);
      }
    }
  }

  private void endCompletedAttempts(long nowMs) {
    for (RunningAttempt attempt : List.copyOf(scheduler.running())) {
      TrackedJob submitted = jobs.get(attempt.jobName());
      long endsMs =
          submitted.ranMs == UNKNOWN
              ? (long) attempt.expectedEndMs()
              : attempt.startedAtMs() + submitted.ranMs;
      if (endsMs <= nowMs) {
        candidate.recordCompletion(endsMs - submitted.atMs);
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
  public PolicyMetrics candidate() {
    return candidate;
  }

  /** Returns what the active policies achieved in the same time, on the same jobs. */
  public PolicyMetrics active() {
    return active;
  }

  /** Returns how many jobs wait under the candidate. */
  public int waiting() {
    return scheduler.waiting().size();
  }
}
