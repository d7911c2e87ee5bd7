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
 * Handles the end of an attempt: the job is queued again, or its result is published to the log.
 * Workers keep a result until the log has it, so that a later decider finds it there and does not
 * run the job again. Confined to the decision loop.
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

  /** Returns whether the job's result is being published to the log. */
  boolean isPublishing(String jobName) {
    return jobsBeingPublished.contains(jobName);
  }

  /** Removes the state of a job that has ended. */
  void removeJob(String jobName) {
    jobsBeingPublished.remove(jobName);
    failedAttempts.remove(jobName);
    failedHostsByJob.remove(jobName);
  }

  /** Removes all state, because this host no longer decides. */
  void clear() {
    jobsBeingPublished.clear();
    failedAttempts.clear();
    failedHostsByJob.clear();
  }

  /** Processes an attempt that has ended on every worker. */
  void onAttemptEnded(GangAttempt attempt, Scheduler scheduler, long nowMs) {
    scheduler.attemptEnded(attempt.attemptId(), attempt.endReason(), nowMs);
    for (GangAttempt other : gangs.all()) {
      other.onAttemptEnded(attempt.attemptId());
    }
    ConfiguredJob configuredJob = configuration.jobs().get(attempt.jobName());
    if (configuredJob == null || configuredJob.job().phase().isFinal()) {
      gangs.remove(attempt);
      return;
    }
    switch (attempt.endReason()) {
      case SUCCEEDED -> publishResult(attempt, JobPhase.SUCCEEDED);
      case FAILED -> onAttemptFailed(attempt, configuredJob, scheduler, nowMs);
      case INTERRUPTED -> resubmit(attempt, configuredJob, scheduler);
    }
  }

  private void onAttemptFailed(
      GangAttempt attempt, ConfiguredJob configuredJob, Scheduler scheduler, long nowMs) {
    Set<String> failedHosts =
        failedHostsByJob.computeIfAbsent(configuredJob.name(), name -> new HashSet<>());
    for (String host : attempt.failedHosts()) {
      // Counts at most one failure of a job against a host, so that a job that always fails cannot
      // get the host quarantined by itself.
      if (failedHosts.add(host)) {
        scheduler.taskFailed(host, nowMs);
      }
    }
    int failures = failedAttempts.merge(configuredJob.name(), 1, Integer::sum);
    if (failures >= MAX_FAILED_ATTEMPTS) {
      publishResult(attempt, JobPhase.FAILED);
    } else {
      resubmit(attempt, configuredJob, scheduler);
    }
  }

  private void resubmit(GangAttempt attempt, ConfiguredJob configuredJob, Scheduler scheduler) {
    gangs.remove(attempt);
    scheduler.submit(configuredJob.name(), configuredJob.job(), configuredJob.firstSeenMs());
  }

  private void publishResult(GangAttempt attempt, JobPhase phase) {
    ConfiguredJob configuredJob = configuration.jobs().get(attempt.jobName());
    if (configuredJob == null || configuredJob.job().phase().isFinal()) {
      gangs.remove(attempt);
      return;
    }
    jobsBeingPublished.add(configuredJob.name());
    ResourceKey key = new ResourceKey(ResourceKind.JOBS, configuredJob.name());
    Draft draft =
        Draft.of(
            key,
            configuredJob.version(),
            Optional.of(configuredJob.job().withPhase(phase)),
            Draft.Priority.JOB);
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
