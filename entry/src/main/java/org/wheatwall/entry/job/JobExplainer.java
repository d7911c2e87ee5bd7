package org.wheatwall.entry.job;

import java.util.Optional;
import org.wheatwall.core.gang.decision.GangAttempt;
import org.wheatwall.core.job.decision.Scheduler;

/** Explains to operators why a job waits or where it runs. */
final class JobExplainer {
  private final JobConfiguration configuration;
  private final GangTable gangs;
  private final Scheduler scheduler;

  JobExplainer(JobConfiguration configuration, GangTable gangs, Scheduler scheduler) {
    this.configuration = configuration;
    this.gangs = gangs;
    this.scheduler = scheduler;
  }

  /**
   * Returns the explanation of a job's state.
   *
   * @param deciding whether the decider has finished the inventory of its workers
   */
  String explain(String jobName, boolean deciding) {
    ConfiguredJob configuredJob = configuration.jobs().get(jobName);
    if (configuredJob == null) {
      return "no such job in this zone";
    }
    if (configuredJob.job().phase().isFinal()) {
      return configuredJob.job().phase().toString();
    }
    if (!deciding) {
      return "the decider of the zone is taking the inventory of the workers";
    }
    Optional<GangAttempt> attempt = scheduler.attemptOf(jobName).flatMap(gangs::get);
    if (attempt.isPresent()) {
      return attempt.get().phase() + " on " + attempt.get().placement().tasksByHost();
    }
    return scheduler
        .reason(jobName)
        .map(reason -> reason.kind() + ": " + reason.detail())
        .orElse("about to be looked at");
  }
}
