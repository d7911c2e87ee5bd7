package review;

import java.nio.file.Path;
import java.util.List;

/** Tasks that ask for no resources at all are started on a runner without the label they need. */
final class ZeroDemand {
  private static final String KIND = "b";
  private static final int WATCH_MS = 4000;

  public static void main(String[] arguments) {
    Scenario.main(arguments, ZeroDemand::isBroken);
  }

  private static boolean isBroken(Path recordFile, boolean trouble) throws Exception {
    try (Deployment deployment = new Deployment(recordFile, Runner.SOUND, KIND, 1)) {
      int demand = trouble ? 0 : 100;
      Jobs.Step step = new Jobs.Step(3, demand, 0, 0, 1000, 1000, false, false, KIND, 0);
      deployment.submit(
          0, Platform.RECONCILE, new Jobs.Job("5c0e7a21d94b0001", List.of(step)));
      Http.sleep(WATCH_MS);
      String labelled = deployment.runners.get(deployment.runners.size() - 1).id();
      return deployment.jobs.runs().stream().anyMatch(run -> !run.runner.equals(labelled));
    }
  }
}
