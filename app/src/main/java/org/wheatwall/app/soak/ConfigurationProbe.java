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
  private static final int EACH_MS = 20;
  private static final int PUBLISH_ONE_IN = 100;
  // The users ask for 2 s; the rest bears a busy machine.
  private static final int IN_FORCE_MS = 3000;
  // After a disturbance a host gets this long until it counts as calm.
  private static final int CALM_AFTER_MS = 4000;

  private final SoakCluster cluster;
  private final SoakClient client;
  private final DisturbancePlan plan;
  private final SplittableRandom random;
  private final BooleanSupplier goesOn;
  private final Map<Integer, Seen> seen = new HashMap<>();
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
    this.goesOn = goesOn;
  }

  @Override
  public void run() {
    while (goesOn.getAsBoolean()) {
      Pause.ms(EACH_MS);
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
    int newest = cluster.configurations().newest();
    int asked = Math.max(1, newest - random.nextInt(2));
    CallerAnswer answer =
        client.call(host, HttpCall.of("GET", PublishedConfigurations.pathOf(asked)));
    if (answer.life().isEmpty()) {
      return;
    }
    int life = answer.life().get();
    Seen before = seen.getOrDefault(host, new Seen(life, 0, 0));
    if (before.life() != life) {
      before = new Seen(life, 0, 0);
    }
    if (answer.done()) {
      actsOn(host, asked, answer, before);
    } else if (answer.status() == 404) {
      doesNotKnow(host, asked, answer, before);
    }
  }

  private void actsOn(int host, int version, CallerAnswer answer, Seen before) {
    if (version < before.version() && answer.sentAtMs() > before.atMs()) {
      wentBack(host, before, "acts on " + version);
    } else if (version > before.version()) {
      seen.put(host, new Seen(before.life(), version, answer.endedAtMs()));
    }
  }

  private void doesNotKnow(int host, int version, CallerAnswer answer, Seen before) {
    boolean stillNewest = cluster.configurations().newest() == version;
    if (!stillNewest) {
      return;
    }
    if (before.version() == version && answer.sentAtMs() > before.atMs()) {
      wentBack(host, before, "no longer knows it");
    }
    long publishedMs = cluster.configurations().publishedAtMs(version);
    boolean due = answer.sentAtMs() > publishedMs + IN_FORCE_MS;
    if (due && plan.isCalm(host, publishedMs - CALM_AFTER_MS, answer.endedAtMs())) {
      violations.add(
          new Violation(
              Promise.CONFIGURATION_IN_FORCE,
              "host " + host + " does not act on " + version + ", " + IN_FORCE_MS + " ms after"));
    }
  }

  private void wentBack(int host, Seen before, String what) {
    violations.add(
        new Violation(
            Promise.CONFIGURATION_NEVER_BACK,
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
