package review;

/**
 * Two services: the runners of one are full and get urgent jobs all the time, that of the other is
 * idle. A job of the idle service must begin within 3 s.
 */
final class TwoServices {
  private static final int FILLING_JOBS = 3;
  private static final int URGENT_BEFORE = 10;
  private static final int URGENT_JOBS = 45;
  private static final int PAUSE_MS = 800;
  private static final int IDLE_LIMIT_MS = 3000;
  private static final String LAB_SPEC = "ms=500 cpu=1000 gpu=2 of=lab";

  private TwoServices() {}

  public static void main(String[] arguments) {
    Deployment.RecordingLedger ledger = new Deployment.RecordingLedger();
    Case.run(arguments, 1, ledger, deployment -> play(deployment, ledger));
  }

  private static String job(String spec, int count, int cpu, int gpu, int estimateMs) {
    return String.format(
        "{\"spec\":\"%s\",\"steps\":[{\"count\":%d,\"cpu\":%d,\"gpu\":%d,\"estimate_ms\":%d}]}",
        spec, count, cpu, gpu, estimateMs);
  }

  private static int play(Deployment deployment, Deployment.RecordingLedger ledger)
      throws Exception {
    ledger.attach(deployment.record);
    for (int i = 0; i < FILLING_JOBS && Deployment.troubled(); i++) {
      deployment.callPatiently(
          "POST",
          Deployment.BATCH + String.format("%016x", 0x500 + i),
          job("ms=80000 cpu=3900 gpu=1", 8, 3900, 1, 80_000),
          3);
    }
    Thread.sleep(3000);
    long acceptedAtMs = 0;
    for (int i = 0; i < URGENT_JOBS; i++) {
      deployment.callPatiently(
          "POST",
          Deployment.URGENT + String.format("%016x", 0x1000 + i),
          job("ms=300 cpu=10 gpu=1", 1, 10, 1, 300),
          1);
      if (i == URGENT_BEFORE) {
        Client.Answer answer =
            deployment.callPatiently(
                "POST",
                Deployment.LAB + "00000000000000aa",
                job(LAB_SPEC, 1, 1000, 2, 20_000),
                3);
        if (!answer.accepted()) {
          return Case.NOT_RUN;
        }
        acceptedAtMs = deployment.record.nowMs();
      }
      if (i > URGENT_BEFORE && ledger.specs("of=lab") > 0) {
        break;
      }
      Thread.sleep(PAUSE_MS);
    }
    long waitedMs = deployment.record.nowMs() - acceptedAtMs;
    boolean begun = ledger.specs("of=lab") > 0;
    deployment.record.line(
        "the job of the idle service " + (begun ? "began" : "has not begun") + " after " + waitedMs
            + " ms");
    return waitedMs > IDLE_LIMIT_MS + PAUSE_MS ? Case.BROKEN : Case.HELD;
  }
}
