package review;

import java.nio.file.Path;
import java.util.List;

/**
 * The store turns a daemon away while the operator adds a queue. The daemon passes a job of that
 * queue on to another daemon, which is turned away next. The client is told that there is no such
 * queue, and the job runs all the same.
 */
final class RefusedSubmission {
  private static final Platform.Queue ADDED = new Platform.Queue("/nueva17/", 2, 3, 3.0, 3000);
  private static final String JOB = "5c0e7a21d94b0001";
  // Daemons register with each other some seconds after their start.
  private static final int WARM_UP_MS = 6000;
  private static final int NOTICE_MS = 3000;
  private static final int APPLY_MS = 2500;
  private static final int SECOND_TROUBLE_MS = 2000;
  private static final int WATCH_MS = 12_000;

  public static void main(String[] arguments) {
    Scenario.main(arguments, RefusedSubmission::isBroken);
  }

  private static boolean isBroken(Path recordFile, boolean trouble) throws Exception {
    try (Deployment deployment = new Deployment(recordFile, Runner.SOUND, "a", 2)) {
      Record record = deployment.record;
      Http.sleep(WARM_UP_MS);
      setSilent(deployment, 0, trouble);
      double troubleBeganAt = record.seconds();
      Http.sleep(NOTICE_MS);
      Platform.publish(
          deployment.store,
          8,
          List.of(Platform.CONFIRM, Platform.SWEEP, Platform.RECONCILE, ADDED));
      record.line("operator: version 8 adds the queue %s", ADDED.prefix());
      Http.sleep(APPLY_MS);
      setSilent(deployment, 1, trouble);
      Jobs.Step step = new Jobs.Step(2, 2800, 7400, 1, 6100, 2000, false, false, "", 0);
      Jobs.Job job = new Jobs.Job(JOB, List.of(step));
      deployment.jobs.add(job);
      Client.Answer answer = deployment.client.post(deployment.daemons.get(0), ADDED, job);
      Http.sleep(SECOND_TROUBLE_MS);
      setSilent(deployment, 0, false);
      setSilent(deployment, 1, false);
      record.line("the trouble lasted %.1f s", record.seconds() - troubleBeganAt);
      Http.sleep(WATCH_MS);
      boolean rejected = List.of(401, 403, 404, 429, 503).contains(answer.status());
      int starts = deployment.jobs.runsOf(JOB).size();
      record.line(
          "the only attempt to submit the job was answered %d; its tasks were started %d times",
          answer.status(), starts);
      return rejected && starts > 0;
    }
  }

  private static void setSilent(Deployment deployment, int daemon, boolean silent) {
    deployment.entrances.get(daemon).setSilent(silent);
    deployment.record.line(
        "store: %s %s",
        silent ? "turns away, with silence," : "serves", deployment.daemons.get(daemon).name());
  }
}
