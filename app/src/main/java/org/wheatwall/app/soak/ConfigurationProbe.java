package org.wheatwall.app.soak;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BooleanSupplier;
import org.wheatwall.wire.http.HttpCall;

/** Asks hosts all the time on which configuration they act. */
final class ConfigurationProbe implements Runnable {
  private static final int PROBE_INTERVAL_MS = 20;
  private static final int PUBLISH_ONE_IN = 100;
  // The users ask for 2 s; the rest bears a busy machine.
  private static final int MAX_ACTIVATION_MS = 3000;
  // After a disturbance a host gets this long until it counts as calm.
  private static final int SETTLE_MS = 4000;

  private final SoakCluster cluster;
  private final SoakClient client;
  private final DisturbancePlan plan;
  private final SplittableRandom random;
  private final BooleanSupplier isRunning;
  private final Map<Integer, Seen> observedByHost = new HashMap<>();
  private final ConcurrentLinkedQueue<Violation> violations = new ConcurrentLinkedQueue<>();

  /** The newest version on which a life of a host was seen to act, and since when. */
  private record Seen(int life, int version, long atMs) {}

  ConfigurationProbe(
      SoakCluster cluster,
      SoakClient client,
      DisturbancePlan plan,
      SoakSettings settings,
      BooleanSupplier goesOn) {
    this.cluster = cluster;
    this.client = client;
    this.plan = plan;
    this.random = new SplittableRandom(settings.seed());
    this.isRunning = goesOn;
  }

  @Override
  public void run() {
    while (isRunning.getAsBoolean()) {
      Pause.ms(PROBE_INTERVAL_MS);
      if (random.nextInt(PUBLISH_ONE_IN) == 0) {
        cluster.configurations().publish();
      }
      probe(random.nextInt(cluster.hosts().size()));
    }
  }

  List<Violation> violations() {
    return List.copyOf(violations);
  }

  private void probe(int host) {
    int newest = cluster.configurations().newestVersion();
    int asked = Math.max(1, newest - random.nextInt(2));
    CallResult answer =
        client.call(host, HttpCall.of("GET", PublishedConfigurations.pathOf(asked)));
    if (answer.incarnation().isEmpty()) {
      return;
    }
    int life = answer.incarnation().get();
    Seen before = observedByHost.getOrDefault(host, new Seen(life, 0, 0));
    if (before.life() != life) {
      before = new Seen(life, 0, 0);
    }
    if (answer.isOk()) {
      onVersionActive(host, asked, answer, before);
    } else if (answer.status() == 404) {
      onVersionUnknown(host, asked, answer, before);
    }
  }

  private void onVersionActive(int host, int version, CallResult answer, Seen before) {
    if (version < before.version() && answer.sentAtMs() > before.atMs()) {
      addRollback(host, before, "acts on " + version);
    } else if (version > before.version()) {
      observedByHost.put(host, new Seen(before.life(), version, answer.endedAtMs()));
    }
  }

  private void onVersionUnknown(int host, int version, CallResult answer, Seen before) {
    boolean stillNewest = cluster.configurations().newestVersion() == version;
    if (!stillNewest) {
      return;
    }
    if (before.version() == version && answer.sentAtMs() > before.atMs()) {
      addRollback(host, before, "no longer knows it");
    }
    long publishedMs = cluster.configurations().publishedAtMs(version);
    boolean due = answer.sentAtMs() > publishedMs + MAX_ACTIVATION_MS;
    if (due && plan.isCalm(host, publishedMs - SETTLE_MS, answer.endedAtMs())) {
      violations.add(
          new Violation(
              Invariant.CONFIGURATION_IN_FORCE,
              "host "
                  + host
                  + " does not act on "
                  + version
                  + ", "
                  + MAX_ACTIVATION_MS
                  + " ms after"));
    }
  }

  private void addRollback(int host, Seen before, String what) {
    violations.add(
        new Violation(
            Invariant.CONFIGURATION_NEVER_BACK,
            "host "
                + host
                + " acted on "
                + before.version()
                + " at "
                + before.atMs()
                + ", "
                + what));
  }
}
