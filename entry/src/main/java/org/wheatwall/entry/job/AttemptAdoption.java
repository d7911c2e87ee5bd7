package org.wheatwall.entry.job;

import java.util.HashMap;
import java.util.Map;
import org.wheatwall.core.gang.decision.GangAttempt;
import org.wheatwall.core.gang.model.TaskReport;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Placement;

/** Takes over, from the reports of workers, the attempts that a new decider finds under way. */
final class AttemptAdoption {
  private final JobConfiguration configuration;
  private final WorkerConnections connections;
  private final GangTable gangs;
  private final Scheduler scheduler;
  private final Inventory inventory;

  AttemptAdoption(
      JobConfiguration configuration,
      WorkerConnections links,
      GangTable gangs,
      Scheduler scheduler,
      Inventory inventory) {
    this.configuration = configuration;
    this.connections = links;
    this.gangs = gangs;
    this.scheduler = scheduler;
    this.inventory = inventory;
  }

  /** Takes over one attempt of each job that is still wanted. */
  void adoptWantedAttempts(long nowMs) {
    long lapsesAtMs = nowMs + connections.times().lapseMs(connections.times().leaseMs());
    for (TaskReport task : reportedAttempts().values()) {
      ConfiguredJob entry = configuration.jobs().get(task.jobName());
      boolean wanted = entry != null && !entry.job().phase().isFinal();
      if (wanted && scheduler.attemptOf(task.jobName()).isEmpty()) {
        adopt(task, entry, nowMs, lapsesAtMs);
      }
    }
    connections.all().forEach(this::applyReport);
  }

  private Map<String, TaskReport> reportedAttempts() {
    Map<String, TaskReport> found = new HashMap<>();
    for (WorkerConnection link : connections.all()) {
      link.report().ifPresent(r -> r.tasks().forEach(task -> found.put(task.attemptId(), task)));
    }
    return found;
  }

  private void adopt(TaskReport task, ConfiguredJob entry, long nowMs, long lapsesAtMs) {
    Placement placement = new Placement(task.hosts());
    Job job = entry.job();
    scheduler.adopt(task.attemptId(), task.jobName(), job, entry.firstSeenMs(), placement, nowMs);
    gangs.add(
        GangAttempt.adopt(
            task.attemptId(),
            task.jobName(),
            job,
            placement,
            connections.times(),
            inventory::lastSeenMs,
            nowMs,
            lapsesAtMs));
  }

  private void applyReport(WorkerConnection link) {
    link.report()
        .ifPresent(
            report ->
                gangs
                    .onHost(link.host())
                    .forEach(attempt -> attempt.onReport(report, link.reportRequestedAtMs())));
  }
}
