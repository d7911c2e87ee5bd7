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
  private final WorkerLinks links;
  private final GangTable gangs;
  private final Scheduler scheduler;
  private final Inventory inventory;

  AttemptAdoption(
      JobConfiguration configuration,
      WorkerLinks links,
      GangTable gangs,
      Scheduler scheduler,
      Inventory inventory) {
    this.configuration = configuration;
    this.links = links;
    this.gangs = gangs;
    this.scheduler = scheduler;
    this.inventory = inventory;
  }

  /** Takes over one attempt of each job that is still wanted. */
  void adoptAll(long nowMs) {
    long lapsesAtMs = nowMs + links.times().lapseMs(links.times().leaseMs());
    for (TaskReport task : reportedAttempts().values()) {
      JobEntry entry = configuration.jobs().get(task.jobName());
      boolean wanted = entry != null && !entry.job().phase().isFinal();
      if (wanted && scheduler.attemptOf(task.jobName()).isEmpty()) {
        adopt(task, entry, nowMs, lapsesAtMs);
      }
    }
    links.all().forEach(this::passReport);
  }

  private Map<String, TaskReport> reportedAttempts() {
    Map<String, TaskReport> found = new HashMap<>();
    for (WorkerLink link : links.all()) {
      link.report().ifPresent(r -> r.tasks().forEach(task -> found.put(task.attemptId(), task)));
    }
    return found;
  }

  private void adopt(TaskReport task, JobEntry entry, long nowMs, long lapsesAtMs) {
    Placement placement = new Placement(task.hosts());
    Job job = entry.job();
    scheduler.adopt(task.attemptId(), task.jobName(), job, entry.seenMs(), placement, nowMs);
    gangs.add(
        GangAttempt.adopt(
            task.attemptId(),
            task.jobName(),
            job,
            placement,
            links.times(),
            inventory::seenAtMs,
            nowMs,
            lapsesAtMs));
  }

  private void passReport(WorkerLink link) {
    link.report()
        .ifPresent(
            report ->
                gangs
                    .onHost(link.host())
                    .forEach(attempt -> attempt.onReport(report, link.askedAtMs())));
  }
}
