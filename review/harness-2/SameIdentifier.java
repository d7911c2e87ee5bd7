package review;

/**
 * A client numbers its jobs by queue, so that two queues get a job with the same identifier. Each
 * POST that got a 2xx must be run, and what is told of it must be its own.
 */
final class SameIdentifier {
  private static final String URGENT_ID = "0000000000000001";
  private static final int WAIT_MS = 15_000;

  private SameIdentifier() {}

  public static void main(String[] arguments) {
    Deployment.RecordingLedger ledger = new Deployment.RecordingLedger();
    Case.run(arguments, ledger, deployment -> play(deployment, ledger));
  }

  private static int play(Deployment deployment, Deployment.RecordingLedger ledger)
      throws Exception {
    ledger.attach(deployment.record);
    String batchId = Deployment.troubled() ? URGENT_ID : "0000000000000002";
    String urgent = Deployment.URGENT + URGENT_ID;
    String batch = Deployment.BATCH + batchId;
    Client.Answer first =
        deployment.callPatiently(
            "POST", urgent, Deployment.job("ms=300 cpu=1000 of=urgent", 1, 1000, ""), 3);
    Client.Answer second =
        deployment.callPatiently(
            "POST", batch, Deployment.job("ms=300 cpu=1000 of=batch", 3, 1000, ""), 3);
    long untilMs = deployment.record.nowMs() + WAIT_MS;
    while (deployment.record.nowMs() < untilMs && ledger.specs("of=batch") < 3) {
      Thread.sleep(250);
    }
    Client.Answer state = deployment.callPatiently("GET", batch, "", 3);
    long ran = ledger.specs("of=batch");
    deployment.record.line(
        "POST of the urgent job: "
            + first.status()
            + ", of the batch job: "
            + second.status()
            + "; tasks of the batch job that were started: "
            + ran
            + " of 3; its state: "
            + state.body());
    boolean lost = second.accepted() && ran < 3;
    boolean falselyDone = state.body().contains("succeeded") && ran < 3;
    if (!first.accepted()) {
      return Case.NOT_RUN;
    }
    return lost || falselyDone ? Case.BROKEN : Case.HELD;
  }
}
