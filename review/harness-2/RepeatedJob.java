package review;

import java.util.ArrayList;
import java.util.List;

/**
 * One client hands in one job with many times that are due already. No process may end, and the
 * jobs of the ordinary client beside it must still be done.
 */
final class RepeatedJob {
  private static final int TIMES = 10_000;
  private static final int TASKS = 20;
  private static final long INTERVAL_MS = 60_000;
  private static final int ORDINARY_JOBS = 50;
  private static final int TROUBLE_AT_JOB = 15;
  private static final int PAUSE_MS = 500;
  private static final int LAST_POST_MS = 60_000;
  // finish_s of the pages.
  private static final int FINISH_MS = 14_000;

  private RepeatedJob() {}

  public static void main(String[] arguments) {
    Case.run(arguments, new Deployment.RecordingLedger(), RepeatedJob::play);
  }

  private static int play(Deployment deployment) throws Exception {
    List<String> accepted = new ArrayList<>();
    for (int i = 0; i < ORDINARY_JOBS && deployment.record.nowMs() < LAST_POST_MS; i++) {
      if (i == TROUBLE_AT_JOB && Deployment.troubled()) {
        long firstMs = System.currentTimeMillis() - TIMES * INTERVAL_MS;
        String times =
            ",\"repeat_count\":%d,\"start_at_ms\":%d,\"interval_ms\":%d"
                .formatted(TIMES, firstMs, INTERVAL_MS);
        deployment.callPatiently(
            "POST",
            Deployment.BATCH + "00000000000000ff",
            Deployment.job("ms=100 cpu=100", TASKS, 100, times),
            3);
      }
      String target = Deployment.BATCH + String.format("%016x", 0x1000 + i);
      String body = Deployment.job("ms=200 cpu=1000", 2, 1000, "");
      if (deployment.callPatiently("POST", target, body, 5).accepted()) {
        accepted.add(target);
      }
      Thread.sleep(PAUSE_MS);
    }
    Thread.sleep(FINISH_MS);
    return deployment.judgeOrdinaryJobs(accepted);
  }
}
