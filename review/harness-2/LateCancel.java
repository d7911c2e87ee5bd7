package review;

/**
 * The store turns one host away. A client's POST there gets no decision; the client cancels the job
 * at another host, and the cancelling is acknowledged. No task of it may start later than cancel_ms
 * after that.
 */
final class LateCancel {
  private static final String JOB = Deployment.BATCH + "00000000000000c1";
  // platform_down, how "nodes ...", in the day trouble-1 of the site file: share 0.35 for 9 s.
  private static final int TURNED_AWAY_MS = 9000;
  private static final int CANCEL_MS = 3000;
  private static final int CONTACT_MS = 3000;
  private static final int WATCH_MS = 25_000;

  private LateCancel() {}

  public static void main(String[] arguments) {
    LateStarts ledger = new LateStarts();
    Case.run(arguments, ledger, deployment -> play(deployment, ledger));
  }

  /** Notes when the last task was started. */
  private static final class LateStarts implements Runner.Ledger {
    private volatile Record record;
    private volatile long lastStartMs = -1;

    @Override
    public void started(String runner, String task, long run, String spec) {
      lastStartMs = record.nowMs();
      record.line(runner + " starts " + task + " run " + run);
    }

    @Override
    public void ended(String runner, String task, long run, String how) {
      record.line(runner + " ends " + task + " run " + run + " " + how);
    }
  }

  private static int play(Deployment deployment, LateStarts ledger) throws Exception {
    ledger.record = deployment.record;
    // What happens at the start is not judged.
    Thread.sleep(CONTACT_MS);
    Hosts.Host first = deployment.hosts.all().get(0);
    Hosts.Host other = deployment.hosts.all().get(1);
    long awayAtMs = deployment.record.nowMs();
    if (Deployment.troubled()) {
      deployment.store.setGateSilent(true);
    }
    // Two steps of 6 s, so that tasks start well after the store serves every host again.
    String body =
        "{\"spec\":\"ms=6000 cpu=1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\"estimate_ms\":6000},"
            + "{\"count\":2,\"cpu\":1000,\"estimate_ms\":6000,\"after_rev\":[0]}]}";
    Client.Answer posted = deployment.client.call(first.jobs, "POST", JOB, body);
    deployment.record.line("POST at " + first.name + ": " + posted);
    Client.Answer cancelled = deployment.client.call(other.jobs, "DELETE", JOB, "");
    long cancelledAtMs = deployment.record.nowMs();
    deployment.record.line("DELETE at " + other.name + ": " + cancelled);
    if (cancelled.status() != 410 && !cancelled.accepted()) {
      deployment.record.line("the cancelling was not acknowledged");
      return Case.NOT_RUN;
    }
    Thread.sleep(Math.max(0, awayAtMs + TURNED_AWAY_MS - deployment.record.nowMs()));
    if (Deployment.troubled()) {
      deployment.store.setGateSilent(false);
    }
    long calmFromMs = deployment.record.nowMs() + CONTACT_MS;
    Thread.sleep(WATCH_MS);
    Client.Answer state = deployment.client.call(other.jobs, "GET", JOB, "");
    deployment.record.line("GET at " + other.name + ": " + state);
    boolean broken =
        ledger.lastStartMs > cancelledAtMs + CANCEL_MS && ledger.lastStartMs > calmFromMs;
    deployment.record.line(
        "cancelling acknowledged at "
            + cancelledAtMs
            + " ms, calm from "
            + calmFromMs
            + " ms, last start at "
            + ledger.lastStartMs
            + " ms");
    return broken ? Case.BROKEN : Case.HELD;
  }
}
