package org.wheatwall.app.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.wheatwall.standin.task.TaskLedger;

/**
 * Hands in one job after the other until one ends. If none does in time, it tells what became of
 * each and what workers did meanwhile, so that a queue that is long can be told from one that
 * stands still.
 */
final class RecoveryCheck {
  private static final int ASK_EACH_MS = 100;
  private static final int FIRST_CALLER = 0xfffff;

  private final SoakCluster cluster;
  private final SoakSettings settings;
  private final RunClock clock;

  RecoveryCheck(SoakCluster cluster, SoakSettings settings, RunClock clock) {
    this.cluster = cluster;
    this.settings = settings;
    this.clock = clock;
  }

  /** Returns nothing once a job has ended, otherwise what was seen within {@code limitMs}. */
  Optional<String> failure(int limitMs) {
    long fromMs = clock.nowMs();
    SoakClient client = new SoakClient(cluster, clock);
    List<JobFacts> jobs = new ArrayList<>();
    while (clock.nowMs() < fromMs + limitMs) {
      List<JobFacts> handedIn = handInOne(client);
      if (handedIn.stream().anyMatch(JobFacts::ended)) {
        return Optional.empty();
      }
      jobs.addAll(handedIn);
      Pause.ms(ASK_EACH_MS);
    }
    return Optional.of(seen(fromMs, jobs));
  }

  private List<JobFacts> handInOne(SoakClient client) {
    AtomicBoolean first = new AtomicBoolean(true);
    int number = FIRST_CALLER + (int) clock.nowMs();
    SoakCaller caller = new SoakCaller(number, client, settings, () -> first.getAndSet(false));
    caller.run();
    return caller.jobs();
  }

  private String seen(long fromMs, List<JobFacts> jobs) {
    String fates = jobs.stream().map(RecoveryCheck::fate).collect(Collectors.joining("; "));
    List<TaskLedger.Event> events =
        cluster.ledger().events().stream()
            .filter(event -> clock.sinceStart(event.atMs()) >= fromMs)
            .toList();
    long starts = events.stream().filter(TaskLedger.Event::isStart).count();
    long ends = events.size() - starts;
    return String.format(
        "from %d to %d ms workers began %d tasks and ended %d; jobs: %s",
        fromMs, clock.nowMs(), starts, ends, fates);
  }

  private static String fate(JobFacts job) {
    String attempts =
        job.attempts().stream()
            .map(answer -> answer.status() + " of host " + answer.host())
            .collect(Collectors.joining(", "));
    return String.format(
        "%s with %d tasks, %s, told %s, last shown as %s",
        job.id(), job.tasks(), job.plan().text(), attempts, job.lastState());
  }
}
