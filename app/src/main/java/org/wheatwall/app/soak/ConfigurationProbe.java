package org.wheatwall.app.soak;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BooleanSupplier;
import org.wheatwall.wire.http.HttpCall;

/** Polls hosts throughout a run for the configuration version that they act on. */
final class ConfigurationProbe implements Runnable {
  private static final int PROBE_INTERVAL_MS = 20;
  private static final int PUBLISH_ONE_IN = 100;
  // The requirement is 2 s; the remaining 1 s allows for a busy machine.
  private static final int MAX_ACTIVATION_MS = 3000;
  // A host counts as calm only this long after a disturbance.
  private static final int SETTLE_MS = 4000;

  private final SoakCluster cluster;
  private final SoakClient client;
  private final DisturbancePlan plan;
  private final SplittableRandom random;
  private final BooleanSupplier isRunning;
  private final Map<Integer, ObservedVersion> observedByHost = new HashMap<>();
  private final ConcurrentLinkedQueue<Violation> violations = new ConcurrentLinkedQueue<>();

  /** The newest version that an incarnation of a host was observed to act on, and since when. */
  private record ObservedVersion(int incarnation, int version, long atMs) {}

  ConfigurationProbe(
      SoakCluster cluster,
      SoakClient client,
      DisturbancePlan plan,
      SoakSettings settings,
      BooleanSupplier isRunning) {
    this.cluster = cluster;
    this.client = client;
    this.plan = plan;
    this.random = new SplittableRandom(settings.seed());
    this.isRunning = isRunning;
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
    int version = Math.max(1, newest - random.nextInt(2));
    CallResult result =
        client.call(host, HttpCall.of("GET", PublishedConfigurations.pathOf(version)));
    if (result.incarnation().isEmpty()) {
      return;
    }
    int incarnation = result.incarnation().get();
    ObservedVersion previous =
        observedByHost.getOrDefault(host, new ObservedVersion(incarnation, 0, 0));
    if (previous.incarnation() != incarnation) {
      previous = new ObservedVersion(incarnation, 0, 0);
    }
    if (result.isOk()) {
      onVersionActive(host, version, result, previous);
    } else if (result.status() == 404) {
      onVersionUnknown(host, version, result, previous);
    }
  }

  private void onVersionActive(int host, int version, CallResult result, ObservedVersion previous) {
    if (version < previous.version() && result.sentAtMs() > previous.atMs()) {
      addRollback(host, previous, "then acts on " + version);
    } else if (version > previous.version()) {
      observedByHost.put(
          host, new ObservedVersion(previous.incarnation(), version, result.endedAtMs()));
    }
  }

  private void onVersionUnknown(
      int host, int version, CallResult result, ObservedVersion previous) {
    boolean stillNewest = cluster.configurations().newestVersion() == version;
    if (!stillNewest) {
      return;
    }
    if (previous.version() == version && result.sentAtMs() > previous.atMs()) {
      addRollback(host, previous, "then no longer knows it");
    }
    long publishedMs = cluster.configurations().publishedAtMs(version);
    boolean overdue = result.sentAtMs() > publishedMs + MAX_ACTIVATION_MS;
    if (overdue && plan.isCalm(host, publishedMs - SETTLE_MS, result.endedAtMs())) {
      violations.add(
          new Violation(
              Invariant.CONFIGURATION_IN_FORCE,
              "host "
                  + host
                  + " does not act on version "
                  + version
                  + " "
                  + MAX_ACTIVATION_MS
                  + " ms after publication"));
    }
  }

  private void addRollback(int host, ObservedVersion previous, String observation) {
    violations.add(
        new Violation(
            Invariant.CONFIGURATION_NEVER_BACK,
            "host "
                + host
                + " acted on version "
                + previous.version()
                + " at "
                + previous.atMs()
                + ", "
                + observation));
  }
}
