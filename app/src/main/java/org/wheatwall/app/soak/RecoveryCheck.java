package org.wheatwall.app.soak;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.wheatwall.standin.task.TaskLedger;
import org.wheatwall.standin.task.TaskPlan;

/**
 * Submits one small job and polls it until it ends. The job needs one accelerator, so that a long
 * queue of large jobs is not mistaken for a stuck scheduler; large jobs are checked by {@link
 * Promise#ACCEPTED_IS_KEPT}.
 */
final class RecoveryCheck {
  private static final int POLL_INTERVAL_MS = 100;
  private static final int FIRST_JOB_NUMBER = 0xfffff;
  private static final int WORK_MS = 100;
  private static final TaskPlan SMALLEST = new TaskPlan(WORK_MS, 1, 1, 0);

  private final SoakCluster cluster;
  private final SoakSettings settings;
  private final RunClock clock;

  RecoveryCheck(SoakCluster cluster, SoakSettings settings, RunClock clock) {
    this.cluster = cluster;
    this.settings = settings;
    this.clock = clock;
  }

  /**
   * Returns empty once the job has succeeded, otherwise a description of what was observed within
   * {@code limitMs}.
   */
  Optional<String> failure(int limitMs) {
    long fromMs = clock.nowMs();
    int number = FIRST_JOB_NUMBER + (int) fromMs;
    SoakCaller caller =
        new SoakCaller(number, new SoakClient(cluster, clock), settings, () -> false);
    ObservedJob job = new ObservedJob(String.format("%016x", number), pathPrefix(), SMALLEST, 1);
    while (clock.nowMs() < fromMs + limitMs) {
      if (job.isAccepted()) {
        caller.poll(job);
      } else {
        caller.submit(job);
      }
      if (job.hasSucceeded()) {
        return Optional.empty();
      }
      Pause.ms(POLL_INTERVAL_MS);
    }
    return Optional.of(describe(fromMs, job));
  }

  // Behind the backlog of an open load, only an urgent job has to start within seconds.
  private String pathPrefix() {
    return settings.conditions().hasOpenLoad()
        ? PublishedConfigurations.URGENT_PREFIX
        : PublishedConfigurations.JOB_PREFIX;
  }

  private String describe(long fromMs, ObservedJob job) {
    String attempts =
        job.attempts().stream()
            .map(result -> result.status() + " of host " + result.host())
            .collect(Collectors.joining(", "));
    List<TaskLedger.Event> events =
        cluster.ledger().events().stream()
            .filter(event -> clock.sinceStart(event.atMs()) >= fromMs)
            .toList();
    long starts = events.stream().filter(TaskLedger.Event::isStart).count();
    return String.format(
        "job %s of one small task, submitted with results %s, was last reported as %s; from"
            + " %d to %d ms workers began %d"
            + " tasks and ended %d",
        job.id(), attempts, job.lastState(), fromMs, clock.nowMs(), starts, events.size() - starts);
  }
}
