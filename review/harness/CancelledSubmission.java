package review;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store loses the answers to two appends of a new job. The client is told that the outcome is
 * unknown, cancels the job, and is told that no such job exists. The job runs all the same.
 */
final class CancelledSubmission {
  private static final String CANCELLED = "5c0e7a21d94b0002";
  private static final int OTHER_JOBS = 16;
  private static final int LOST_APPENDS = 2;
  private static final int LATE_MS = 5500;
  private static final int WATCH_MS = 14_000;

  public static void main(String[] arguments) {
    Scenario.main(arguments, CancelledSubmission::isBroken);
  }

  private static boolean isBroken(Path recordFile, boolean trouble) throws Exception {
    try (Deployment deployment = new Deployment(recordFile, Runner.SOUND, "a", 1)) {
      Record record = deployment.record;
      Jobs.Job job =
          new Jobs.Job(CANCELLED, List.of(sweepStep(11_000), sweepStep(2000)));
      deployment.jobs.add(job);
      int appendsBefore = deployment.store.appends();
      AtomicInteger lost = new AtomicInteger();
      double troubleBeganAt = record.seconds();
      if (trouble) {
        record.line("the store loses the answers to %d appends", LOST_APPENDS);
        deployment.store.setFaults(keys -> loses(keys, lost, record));
      }
      Thread others = submitOthers(deployment);
      Daemon daemon = deployment.daemons.get(0);
      deployment.client.post(daemon, Platform.SWEEP, job);
      Client.Answer cancelled = deployment.client.delete(daemon, Platform.SWEEP, CANCELLED);
      deployment.store.setFaults(keys -> -1);
      double acknowledgedAt = record.seconds();
      others.join();
      record.line(
          "the trouble lasted %.1f s; %d of %d appends got no answer",
          record.seconds() - troubleBeganAt,
          lost.get(),
          deployment.store.appends() - appendsBefore);
      boolean acknowledged = cancelled.status() / 100 == 2 || cancelled.status() == 410;
      if (!acknowledged) {
        throw new IllegalStateException("the cancelling was not acknowledged");
      }
      deployment.client.get(deployment.daemons.get(1), Platform.SWEEP, CANCELLED);
      Http.sleep(WATCH_MS);
      deployment.client.get(deployment.daemons.get(1), Platform.SWEEP, CANCELLED);
      return check(deployment, acknowledgedAt, trouble ? acknowledgedAt : 0);
    }
  }

  private static Jobs.Step sweepStep(int runMs) {
    return new Jobs.Step(4, 13_000, 26_000, 1, runMs, runMs, false, false, "", 0);
  }

  private static long loses(List<String> keys, AtomicInteger lost, Record record) {
    boolean ofJob = keys.stream().anyMatch(key -> key.endsWith(CANCELLED));
    if (!ofJob || lost.get() >= LOST_APPENDS) {
      return -1;
    }
    lost.incrementAndGet();
    record.line("store: append of %s gets no answer and is done %d ms later", keys, LATE_MS);
    return LATE_MS;
  }

  // Work of other clients, at the other daemons.
  private static Thread submitOthers(Deployment deployment) {
    Thread thread =
        new Thread(
            () -> {
              for (int i = 0; i < OTHER_JOBS; i++) {
                Jobs.Step step =
                    new Jobs.Step(1, 3700, 7600, 1, 500, 500, false, false, "", 0);
                Jobs.Job job = new Jobs.Job(String.format("5c0e7a21d94b01%02x", i), List.of(step));
                deployment.jobs.add(job);
                deployment.client.post(
                    deployment.daemons.get(1 + i % 2), Platform.CONFIRM, job);
                Http.sleep(40);
              }
            });
    thread.start();
    return thread;
  }

  // A task may start until cancel_ms after the acknowledgement, and run until stop_ms after that;
  // after trouble, both count from contact_ms after its end.
  private static boolean check(Deployment deployment, double acknowledgedAt, double troubleEndedAt) {
    double calmAt =
        troubleEndedAt == 0 ? acknowledgedAt : troubleEndedAt + Platform.CONTACT_S;
    double startLimit = Math.max(acknowledgedAt, calmAt) + Platform.CANCEL_S;
    double runLimit = startLimit + Platform.STOP_S;
    boolean broken = false;
    for (Jobs.Run run : deployment.jobs.runsOf(CANCELLED)) {
      boolean late = run.startedAt > startLimit;
      boolean runsOn = run.isOpen() || run.endedAt > runLimit;
      deployment.record.line(
          "task %s ran from %.3f to %.3f, cancelled at %.3f: %s",
          run.task,
          run.startedAt,
          run.endedAt,
          acknowledgedAt,
          late ? "started too late" : runsOn ? "ran on too long" : "allowed");
      broken |= late || runsOn;
    }
    return broken;
  }
}
