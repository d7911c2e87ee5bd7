package org.wheatwall.entry.job;

import java.util.HashMap;
import java.util.Map;
import org.wheatwall.core.gang.decision.GangAttempt;
import org.wheatwall.core.gang.model.TaskReport;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/** Adopts the running attempts that a new decider finds in the reports of workers. */
final class AttemptAdoption {
  private final JobConfiguration configuration;
  private final WorkerConnections connections;
  private final GangTable gangs;
  private final Scheduler scheduler;
  private final Inventory inventory;

  AttemptAdoption(
      JobConfiguration configuration,
      WorkerConnections connections,
      GangTable gangs,
      Scheduler scheduler,
      Inventory inventory) {
    this.configuration = configuration;
    this.connections = connections;
    this.gangs = gangs;
    this.scheduler = scheduler;
    this.inventory = inventory;
  }

  /** Adopts one attempt of each job that has not ended. */
  void adoptWantedAttempts(long nowMs) {
    long leaseExpiresAtMs = nowMs + connections.times().lapseMs(connections.times().leaseMs());
    for (TaskReport task : reportedAttempts().values()) {
      ConfiguredJob configuredJob = configuration.jobs().get(task.jobName());
      boolean wanted = configuredJob != null && !configuredJob.job().phase().isFinal();
      if (wanted && scheduler.attemptOf(task.jobName()).isEmpty()) {
        adopt(task, configuredJob, nowMs, leaseExpiresAtMs);
      }
    }
    connections.all().forEach(this::applyReport);
  }

  private Map<String, TaskReport> reportedAttempts() {
    Map<String, TaskReport> found = new HashMap<>();
    for (WorkerConnection connection : connections.all()) {
      connection
          .report()
          .ifPresent(report -> report.tasks().forEach(task -> found.put(task.attemptId(), task)));
    }
    return found;
  }

  private void adopt(
      TaskReport task, ConfiguredJob configuredJob, long nowMs, long leaseExpiresAtMs) {
    Placement placement = new Placement(task.hosts());
    Job job = configuredJob.job();
    scheduler.adopt(
        task.attemptId(), task.jobName(), job, configuredJob.firstSeenMs(), placement, nowMs);
    gangs.add(
        GangAttempt.adopt(
            task.attemptId(),
            task.jobName(),
            job,
            placement,
            connections.times(),
            inventory::lastSeenMs,
            nowMs,
            leaseExpiresAtMs));
  }

  private void applyReport(WorkerConnection connection) {
    connection
        .report()
        .ifPresent(
            report ->
                gangs
                    .onHost(connection.host())
                    .forEach(
                        attempt -> attempt.onReport(report, connection.reportRequestedAtMs())));
  }
}
