package review;

/**
 * A host stands still while a client hands in a job there. The client leaves and cancels the job at
 * another host, and the cancelling is acknowledged. No task of it may start later than cancel_ms
 * after that.
 */
final class FrozenHost {
  private static final String JOB = Deployment.BATCH + "00000000000000c2";
  // node_freeze of the site file: one machine, 4 s.
  private static final int FROZEN_MS = 4000;
  private static final int CANCEL_MS = 3000;
  private static final int CONTACT_MS = 3000;
  private static final int WATCH_MS = 18_000;

  private FrozenHost() {}

  public static void main(String[] arguments) {
    Deployment.RecordingLedger ledger = new Deployment.RecordingLedger();
    Case.run(arguments, ledger, deployment -> play(deployment, ledger));
  }

  private static int play(Deployment deployment, Deployment.RecordingLedger ledger)
      throws Exception {
    ledger.attach(deployment.record);
    Thread.sleep(CONTACT_MS);
    Hosts.Host first = deployment.hosts.all().get(0);
    Hosts.Host other = deployment.hosts.all().get(1);
    long frozenAtMs = deployment.record.nowMs();
    if (Deployment.troubled()) {
      first.signal("STOP");
    }
    String body =
        "{\"spec\":\"ms=6000 cpu=1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\"estimate_ms\":6000},"
            + "{\"count\":2,\"cpu\":1000,\"estimate_ms\":6000,\"after_rev\":[0]}]}";
    deployment.record.line("POST: " + deployment.client.call(first.jobs, "POST", JOB, body));
    Client.Answer cancelled = deployment.client.call(other.jobs, "DELETE", JOB, "");
    long cancelledAtMs = deployment.record.nowMs();
    deployment.record.line("DELETE: " + cancelled);
    if (cancelled.status() != 410 && !cancelled.accepted()) {
      return Case.NOT_RUN;
    }
    Thread.sleep(Math.max(0, frozenAtMs + FROZEN_MS - deployment.record.nowMs()));
    if (Deployment.troubled()) {
      first.signal("CONT");
    }
    long calmFromMs = Math.max(cancelledAtMs + CANCEL_MS, deployment.record.nowMs() + CONTACT_MS);
    Thread.sleep(Math.max(0, calmFromMs - deployment.record.nowMs()));
    long before = ledger.specs("ms=6000");
    Thread.sleep(WATCH_MS);
    long late = ledger.specs("ms=6000") - before;
    deployment.record.line(
        late + " starts later than cancel_ms after the cancelling and contact_ms after the freeze");
    return late > 0 ? Case.BROKEN : Case.HELD;
  }
}
