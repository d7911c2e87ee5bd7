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
 * Evaluates a candidate policy on the live inputs without effect on real jobs. It starts from the
 * jobs that run and wait now, and receives the same submissions, cancellations and hosts as the
 * active policies. A job counts as ended once it has held its placement for as long as it really
 * ran or, if its real run has not ended, for its expected run time. Stopped jobs lose their
 * progress, which is the worst case of a checkpoint.
 *
 * <p>The current time is passed in. Not thread-safe; used only by the decision loop.
 */
public final class ShadowRun {
  private static final long NOT_ENDED_MS = -1;

  private final PolicySpec spec;
  private final Scheduler scheduler;
  private final PolicyMetrics candidate = new PolicyMetrics();
  private final PolicyMetrics active = new PolicyMetrics();
  private final Map<String, TrackedJob> jobs = new HashMap<>();

  /**
   * One job in the candidate and in the active schedule; removedHosts once it has ended in both.
   */
  private static final class TrackedJob {
    private final Job job;
    private final long submittedAtMs;
    private long runTimeMs = NOT_ENDED_MS;
    private boolean candidateEnded;

    private TrackedJob(Job job, long submittedAtMs) {
      this.job = job;
      this.submittedAtMs = submittedAtMs;
    }
  }

  /** Starts a candidate from the current state of {@code activeScheduler}. */
  public ShadowRun(PolicySpec spec, Scheduler activeScheduler, SchedulerSettings settings) {
    this.spec = spec;
    this.scheduler = new Scheduler(settings);
    scheduler.setAttemptPrefix("shadow");
    scheduler.setPolicies(Map.of("candidate", spec.asActive()));
    onHostsChanged(activeScheduler);
    for (RunningAttempt attempt : activeScheduler.running()) {
      jobs.put(attempt.jobName(), new TrackedJob(attempt.job(), attempt.submittedAtMs()));
      scheduler.adopt(
          attempt.attemptId(),
          attempt.jobName(),
          attempt.job(),
          attempt.submittedAtMs(),
          attempt.placement(),
          attempt.startedAtMs());
    }
    for (QueuedJob job : activeScheduler.waiting()) {
      onSubmitted(job.name(), job.job(), job.submittedAtMs());
    }
  }

  /** Returns the specification of the candidate. */
  public PolicySpec spec() {
    return spec;
  }

  /** Copies hosts, workspaces and shapes from the active scheduler. */
  public void onHostsChanged(Scheduler activeScheduler) {
    List<String> removedHosts = new ArrayList<>();
    scheduler.cluster().hosts().forEach(host -> removedHosts.add(host.name()));
    for (HostState host : activeScheduler.cluster().hosts()) {
      removedHosts.remove(host.name());
      scheduler.cluster().add(host.host());
      scheduler.cluster().setUsable(host.name(), host.usable());
    }
    removedHosts.forEach(scheduler.cluster()::remove);
    scheduler.setWorkspaces(activeScheduler.workspaces());
    scheduler.setShapes(activeScheduler.shapes());
    scheduler.hostsChanged();
  }

  /** Adds a submitted job; does nothing if it is already known. */
  public void onSubmitted(String name, Job job, long submittedAtMs) {
    if (jobs.putIfAbsent(name, new TrackedJob(job, submittedAtMs)) == null) {
      scheduler.submit(name, job, submittedAtMs);
    }
  }

  /** Removes a job that was cancelled or failed permanently. */
  public void onWithdrawn(String name, long nowMs) {
    TrackedJob tracked = jobs.get(name);
    if (tracked != null && tracked.runTimeMs == NOT_ENDED_MS) {
      scheduler
          .withdraw(name)
          .ifPresent(id -> scheduler.attemptEnded(id, EndReason.INTERRUPTED, nowMs));
      jobs.remove(name);
    }
  }

  /** Records that a job completed after a run of {@code tookMs} milliseconds. */
  public void onSucceeded(String name, long tookMs, long nowMs) {
    TrackedJob tracked = jobs.get(name);
    if (tracked == null || tracked.runTimeMs != NOT_ENDED_MS) {
      return;
    }
    tracked.runTimeMs = tookMs;
    scheduler.observeRun(tracked.job, tookMs);
    active.recordCompletion(nowMs - tracked.submittedAtMs);
    if (tracked.candidateEnded) {
      jobs.remove(name);
    }
  }

  /** Runs a scheduling pass of the candidate, without effect on real jobs. */
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
      TrackedJob tracked = jobs.get(attempt.jobName());
      long endsMs =
          tracked.runTimeMs == NOT_ENDED_MS
              ? (long) attempt.expectedEndMs()
              : attempt.startedAtMs() + tracked.runTimeMs;
      if (endsMs <= nowMs) {
        candidate.recordCompletion(endsMs - tracked.submittedAtMs);
        scheduler.attemptEnded(attempt.attemptId(), EndReason.INTERRUPTED, endsMs);
        tracked.candidateEnded = true;
        if (tracked.runTimeMs != NOT_ENDED_MS) {
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

  /** Returns the results that the candidate would have achieved. */
  public PolicyMetrics candidate() {
    return candidate;
  }

  /** Returns the results of the active policies in the same period, on the same jobs. */
  public PolicyMetrics active() {
    return active;
  }

  /** Returns the number of jobs that wait under the candidate. */
  public int waiting() {
    return scheduler.waiting().size();
  }
}
