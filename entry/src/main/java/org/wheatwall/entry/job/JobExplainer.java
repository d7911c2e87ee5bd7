package org.wheatwall.entry.job;

import java.util.Optional;
import org.wheatwall.core.gang.decision.GangAttempt;
import org.wheatwall.core.job.decision.Scheduler;

/** Tells operators, in words, why a job waits or how it runs. */
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
   * Explains a job.
   *
   * @param deciding whether the decider has the inventory of its workers
   */
  String explain(String jobName, boolean deciding) {
    ConfiguredJob entry = configuration.jobs().get(jobName);
    if (entry == null) {
      return "no such job in this zone";
    }
    if (entry.job().phase().isFinal()) {
      return entry.job().phase().toString();
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
