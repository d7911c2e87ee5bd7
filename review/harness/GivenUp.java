package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;

/**
 * Runners are cut off one after the other, crash behind the cut and start again. A task is ordered
 * at each of four of them and never started. Its job is shown as failed.
 */
final class GivenUp {
  private static final String JOB = "5c0e7a21d94b0001";
  private static final String EARLIER = "5c0e7a21d94b0002";
  private static final int RUNNERS = 16;
  private static final int CUTS = 5;
  private static final int CUT_MS = 4000;
  private static final int OVERLAP_MS = 300;
  private static final int FIRST_CUT_MS = 600;
  private static final int WARM_UP_MS = 3000;
  private static final int POLLS = 60;
  private static final int POLL_MS = 500;

  public static void main(String[] arguments) {
    Scenario.main(arguments, GivenUp::isBroken);
  }

  private static boolean isBroken(Path recordFile, boolean trouble) throws Exception {
    try (Deployment deployment = new Deployment(recordFile, Runner.SOUND, "a", 1, RUNNERS)) {
      // Leaves open connections to each runner, as earlier work does.
      Jobs.Step earlier =
          new Jobs.Step(RUNNERS, 2800, 7400, 1, 500, 300, false, false, "", 1);
      deployment.submit(0, Platform.RECONCILE, new Jobs.Job(EARLIER, List.of(earlier)));
      Http.sleep(WARM_UP_MS);
      Thread cuts = new Thread(() -> cutInTurn(deployment));
      if (trouble) {
        cuts.start();
        Http.sleep(FIRST_CUT_MS);
      }
      Jobs.Step step = new Jobs.Step(1, 2800, 7400, 1, 6100, 6100, false, false, "", 0);
      deployment.submit(0, Platform.RECONCILE, new Jobs.Job(JOB, List.of(step)));
      String state = awaitEnd(deployment);
      cuts.join();
      int starts = deployment.jobs.runsOf(JOB).size();
      deployment.record.line(
          "the job is shown as %s; its task was started %d times", state, starts);
      return state.equals("failed") && starts == 0;
    }
  }

  private static String awaitEnd(Deployment deployment) throws IOException {
    String state = "";
    for (int i = 0; i < POLLS && !state.equals("failed") && !state.equals("succeeded"); i++) {
      Http.sleep(POLL_MS);
      Client.Answer answer =
          deployment.client.get(deployment.daemons.get(0), Platform.RECONCILE, JOB);
      state = Http.json(answer.body().getBytes()).path("state").asText();
    }
    return state;
  }

  // The next runner is cut off shortly before the last one is reached again.
  private static void cutInTurn(Deployment deployment) {
    for (int i = 0; i < CUTS; i++) {
      Runner next = deployment.runners.get(i);
      cutOff(deployment, next);
      if (i > 0) {
        Http.sleep(OVERLAP_MS);
        startAgain(deployment, deployment.runners.get(i - 1));
      }
      Http.sleep(CUT_MS);
    }
    startAgain(deployment, deployment.runners.get(CUTS - 1));
  }

  private static void cutOff(Deployment deployment, Runner runner) {
    try {
      runner.cutOff();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    deployment.record.line("runner %s is cut off from all daemons", runner.id());
  }

  private static void startAgain(Deployment deployment, Runner runner) {
    try {
      runner.startAgain();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    deployment.record.line("runner %s has started again and is reached", runner.id());
  }
}
