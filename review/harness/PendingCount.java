package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The only runner that may run the jobs of a queue refuses all starts. None of the jobs has begun,
 * but the daemons do not count them as pending.
 */
final class PendingCount {
  private static final int JOBS = 4;
  private static final String KIND = "b";
  private static final int TROUBLE_MS = 6500;

  public static void main(String[] arguments) {
    Scenario.main(arguments, PendingCount::isBroken);
  }

  private static boolean isBroken(Path recordFile, boolean trouble) throws Exception {
    try (Deployment deployment = new Deployment(recordFile, Runner.SOUND, KIND, 1)) {
      Record record = deployment.record;
      Runner runner = deployment.runners.get(deployment.runners.size() - 1);
      double troubleBeganAt = record.seconds();
      runner.setRefusing(trouble);
      List<Jobs.Job> jobs = new ArrayList<>();
      for (int i = 0; i < JOBS; i++) {
        Jobs.Step step = new Jobs.Step(1, 2800, 7400, 1, 6100, 6100, false, false, KIND, 0);
        Jobs.Job job = new Jobs.Job("5c0e7a21d94b001" + i, List.of(step));
        jobs.add(job);
        deployment.submit(i % 3, Platform.RECONCILE, job);
      }
      double askedAt = record.seconds() + Platform.VISIBLE_S + 2.2;
      Http.sleep((long) (1000 * (askedAt - record.seconds())));
      boolean broken = false;
      for (Daemon daemon : deployment.daemons) {
        long begun = jobs.stream().filter(job -> hasBegun(deployment, job)).count();
        long pending = JOBS - begun;
        Client.Answer answer = deployment.client.count(daemon, Platform.RECONCILE);
        int shown = Http.json(answer.body().getBytes()).path("pending").asInt(-1);
        record.line("%s shows %d pending; %d have not begun", daemon.name(), shown, pending);
        broken |= answer.status() == 200 && 2 * shown < pending;
      }
      Http.sleep((long) (TROUBLE_MS - 1000 * (record.seconds() - troubleBeganAt)));
      runner.setRefusing(false);
      record.line("the trouble lasted %.1f s", record.seconds() - troubleBeganAt);
      for (Jobs.Job job : jobs) {
        deployment.awaitOpenRuns(job.id(), 1, 5000);
      }
      return broken;
    }
  }

  private static boolean hasBegun(Deployment deployment, Jobs.Job job) {
    return !deployment.jobs.runsOf(job.id()).isEmpty();
  }
}
