package review;

import java.nio.file.Path;

/** Runs one case and ends the process with its result. */
final class Case {
  /** The rule held. */
  static final int HELD = 0;

  /** The rule was broken. */
  static final int BROKEN = 1;

  /** The case could not run. */
  static final int NOT_RUN = 2;

  private static final int LIMIT_MS = 116_000;
  private static final int HOSTS = 3;
  private static final int RUNNERS = 4;

  /** What a case does, and its result. */
  interface Play {
    int play(Deployment deployment) throws Exception;
  }

  private Case() {}

  static void run(String[] arguments, Runner.Ledger ledger, Play play) {
    run(arguments, 0, ledger, play);
  }

  /** Runs a case with some runners of another service. */
  static void run(String[] arguments, int otherRunners, Runner.Ledger ledger, Play play) {
    Thread limit = new Thread(Case::endAtLimit);
    limit.setDaemon(true);
    limit.start();
    int result = NOT_RUN;
    try (Deployment deployment =
            new Deployment(Path.of(arguments[0]), HOSTS, RUNNERS, otherRunners, ledger)) {
      try {
        deployment.awaitReady();
        result = play.play(deployment);
      } catch (Exception e) {
        deployment.record.line("the case could not run: " + e);
        e.printStackTrace();
      }
      String text =
          switch (result) {
            case HELD -> "the rule held";
            case BROKEN -> "THE RULE WAS BROKEN";
            default -> "the case could not run";
          };
      deployment.record.line(text);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(result);
  }

  private static void endAtLimit() {
    try {
      Thread.sleep(LIMIT_MS);
    } catch (InterruptedException e) {
      return;
    }
    System.err.println("the case took too long");
    System.exit(NOT_RUN);
  }
}
