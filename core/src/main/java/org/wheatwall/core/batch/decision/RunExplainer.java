package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.job.policy.QueuedJob;

/** Explains to operators what the groups of a job wait for or where they run. */
final class RunExplainer {
  private final TermState term;

  RunExplainer(TermState term) {
    this.term = term;
  }

  /** Returns a line for each waiting or running group of a job. */
  List<String> explain(String jobId) {
    List<String> lines = new ArrayList<>();
    String prefix = jobId + ".";
    for (QueuedJob queued : term.scheduler.waiting()) {
      if (queued.name().startsWith(prefix)) {
        lines.add(queued.name() + " waits: " + term.scheduler.reason(queued.name()).orElseThrow());
        explainPermits(queued.name()).ifPresent(lines::add);
      }
    }
    if (!lines.isEmpty()) {
      explainEvacuations().ifPresent(lines::add);
    }
    for (GroupRun run : term.runs.ofJob(jobId)) {
      lines.add(run.group().text() + " runs: " + run);
    }
    return lines;
  }

  private Optional<String> explainEvacuations() {
    if (!term.evacuationsKnown) {
      return Optional.of("nothing starts: the evacuated zones are not known");
    }
    List<String> zones = term.workers.evacuatedZones().stream().sorted().toList();
    return zones.isEmpty()
        ? Optional.empty()
        : Optional.of("nothing starts in evacuated zones: " + String.join(", ", zones));
  }

  private Optional<String> explainPermits(String queuedName) {
    return GroupKey.parse(queuedName)
        .flatMap(
            group ->
                Optional.ofNullable(term.jobs.get(group.jobId()))
                    .flatMap(progress -> term.permits.explain(progress.job(), group)))
        .map(text -> queuedName + " has " + text);
  }
}
