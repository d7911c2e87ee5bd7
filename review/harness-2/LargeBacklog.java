package review;

import java.util.ArrayList;
import java.util.List;

/**
 * One client hands in a few wide jobs at once. No process may end, and the jobs of the ordinary
 * client beside it must still be done.
 */
final class LargeBacklog {
  private static final int LARGE_JOBS = 12;
  private static final int STEPS = 4;
  private static final int TASKS = 5000;
  private static final int ORDINARY_JOBS = 40;
  private static final int TROUBLE_AT_JOB = 10;
  private static final int PAUSE_MS = 500;
  private static final int FINISH_MS = 14_000;
  private static final int LAST_POST_MS = 60_000;

  private LargeBacklog() {}

  public static void main(String[] arguments) {
    Case.run(arguments, new Deployment.RecordingLedger(), LargeBacklog::play);
  }

  private static String wideJob() {
    List<String> steps = new ArrayList<>();
    for (int i = 0; i < STEPS; i++) {
      steps.add("{\"count\":" + TASKS + ",\"cpu\":8000,\"estimate_ms\":60000}");
    }
    return "{\"spec\":\"ms=60000 cpu=8000\",\"steps\":[" + String.join(",", steps) + "]}";
  }

  private static int play(Deployment deployment) throws Exception {
    List<String> accepted = new ArrayList<>();
    for (int i = 0; i < ORDINARY_JOBS && deployment.record.nowMs() < LAST_POST_MS; i++) {
      if (i == TROUBLE_AT_JOB && Deployment.troubled()) {
        for (int k = 0; k < LARGE_JOBS; k++) {
          deployment.callPatiently(
              "POST", Deployment.BATCH + String.format("%016x", 0xff00 + k), wideJob(), 3);
        }
      }
      String target = Deployment.URGENT + String.format("%016x", 0x1000 + i);
      String body = Deployment.job("ms=200 cpu=1000", 2, 1000, "");
      if (deployment.callPatiently("POST", target, body, 3).accepted()) {
        accepted.add(target);
      }
      Thread.sleep(PAUSE_MS);
    }
    Thread.sleep(FINISH_MS);
    return deployment.judgeOrdinaryJobs(accepted);
  }
}
