package org.wheatwall.entry.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.configuration.model.ResourceKey;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.gang.decision.GangAttempt;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.entry.configuration.Draft;

/**
 * What follows the end of an attempt: the job waits again, or its result goes to the log. Until the
 * log has a result the workers keep it, so that a later decider finds it there and does not run the
 * job again. Confined to the decision loop.
 */
final class AttemptEndHandler {
  private static final int MAX_FAILED_ATTEMPTS = 3;

  private final GangTable gangs;
  private final JobConfiguration configuration;
  private final DeciderPorts ports;
  private final Set<String> jobsBeingPublished = new HashSet<>();
  private final Map<String, Integer> failedAttempts = new HashMap<>();
  private final Map<String, Set<String>> failedHostsByJob = new HashMap<>();

  AttemptEndHandler(GangTable gangs, JobConfiguration configuration, DeciderPorts ports) {
    this.gangs = gangs;
    this.configuration = configuration;
    this.ports = ports;
  }

  /** Returns whether the job's result is on its way to the log. */
  boolean isPublishing(String jobName) {
    return jobsBeingPublished.contains(jobName);
  }

  /** Forgets a job that has ended for good. */
  void removeJob(String jobName) {
    jobsBeingPublished.remove(jobName);
    failedAttempts.remove(jobName);
    failedHostsByJob.remove(jobName);
  }

  /** Forgets everything, because this host no longer decides. */
  void clear() {
    jobsBeingPublished.clear();
    failedAttempts.clear();
    failedHostsByJob.clear();
  }

  /** Takes in an attempt that has ended on every worker. */
  void onAttemptEnded(GangAttempt attempt, Scheduler scheduler, long nowMs) {
    scheduler.attemptEnded(attempt.attemptId(), attempt.endReason(), nowMs);
    for (GangAttempt other : gangs.all()) {
      other.onAttemptEnded(attempt.attemptId());
    }
    ConfiguredJob entry = configuration.jobs().get(attempt.jobName());
    if (entry == null || entry.job().phase().isFinal()) {
      gangs.remove(attempt);
      return;
    }
    switch (attempt.endReason()) {
      case SUCCEEDED -> publishResult(attempt, JobPhase.SUCCEEDED);
      case FAILED -> onAttemptFailed(attempt, entry, scheduler, nowMs);
      case INTERRUPTED -> resubmit(attempt, entry, scheduler);
    }
  }

  private void onAttemptFailed(
      GangAttempt attempt, ConfiguredJob entry, Scheduler scheduler, long nowMs) {
    Set<String> blamed = failedHostsByJob.computeIfAbsent(entry.name(), name -> new HashSet<>());
    for (String host : attempt.failedHosts()) {
      // One job that always fails must not condemn a host by itself.
      if (blamed.add(host)) {
        scheduler.hostFailedTask(host, nowMs);
      }
    }
    int failures = failedAttempts.merge(entry.name(), 1, Integer::sum);
    if (failures >= MAX_FAILED_ATTEMPTS) {
      publishResult(attempt, JobPhase.FAILED);
    } else {
      resubmit(attempt, entry, scheduler);
    }
  }

  private void resubmit(GangAttempt attempt, ConfiguredJob entry, Scheduler scheduler) {
    gangs.remove(attempt);
    scheduler.submit(entry.name(), entry.job(), entry.firstSeenMs());
  }

  private void publishResult(GangAttempt attempt, JobPhase phase) {
    ConfiguredJob entry = configuration.jobs().get(attempt.jobName());
    if (entry == null || entry.job().phase().isFinal()) {
      gangs.remove(attempt);
      return;
    }
    jobsBeingPublished.add(entry.name());
    ResourceKey key = new ResourceKey(ResourceKind.JOBS, entry.name());
    Draft draft =
        Draft.of(
            key, entry.version(), Optional.of(entry.job().withPhase(phase)), Draft.Priority.JOB);
    ports
        .publish(draft)
        .whenComplete(
            (verdict, failure) -> {
              if (gangs.get(attempt.attemptId()).isPresent()) {
                publishResult(attempt, phase);
              }
            });
  }
}
