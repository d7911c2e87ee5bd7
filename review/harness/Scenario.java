package review;

import java.nio.file.Path;

/** Runs one scenario: exits with 0 if the rule held, 1 if it was broken, 2 if it could not run. */
final class Scenario {
  private static final int LIMIT_MS = 115_000;
  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int NOT_RUN = 2;

  /** A scenario; returns whether the rule was broken. */
  interface Body {
    boolean isBroken(Path recordFile, boolean trouble) throws Exception;
  }

  private Scenario() {}

  static void main(String[] arguments, Body body) {
    Thread watchdog =
        new Thread(
            () -> {
              Http.sleep(LIMIT_MS);
              System.out.println("not run: the time is over");
              System.exit(NOT_RUN);
            });
    watchdog.setDaemon(true);
    watchdog.start();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status;
    try {
      boolean broken = body.isBroken(Path.of(arguments[0]), trouble);
      System.out.println(broken ? "the rule was broken" : "the rule held");
      status = broken ? BROKEN : HELD;
    } catch (Exception | Error failure) {
      System.out.println("not run: " + failure);
      status = NOT_RUN;
    }
    System.exit(status);
  }
}
