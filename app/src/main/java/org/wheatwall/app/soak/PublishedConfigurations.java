package org.wheatwall.app.soak;

import java.util.ArrayList;
import java.util.List;
import org.wheatwall.standin.store.PlatformDocuments;
import org.wheatwall.standin.store.StoreStandIn;

/**
 * The configurations that the operator has published. Each contains the queue for jobs and a queue
 * that is unique to its version, by which a caller can tell whether a host acts on it.
 */
final class PublishedConfigurations {
  /** Path prefix of jobs. */
  static final String JOB_PREFIX = "/jobs/";

  /** Key that callers send. */
  static final String KEY = "soak-key";

  // Hosts see the address that a caller connected to; every host has its own queues.
  private static final int MAX_ATTEMPTS = 6;
  private static final int PRIORITY = 1;

  private final StoreStandIn store;
  private final List<String> addresses;
  private final RunClock clock;
  private final List<Long> publishedAtMs = new ArrayList<>();
  private boolean publishingStopped;

  PublishedConfigurations(StoreStandIn store, List<String> addresses, RunClock clock) {
    this.store = store;
    this.addresses = List.copyOf(addresses);
    this.clock = clock;
  }

  /** Publishes the next version, unless publishing was stopped. */
  synchronized void publish() {
    if (publishingStopped) {
      return;
    }
    put(publishedAtMs.size() + 1);
    publishedAtMs.add(clock.nowMs());
  }

  /** Stops publishing, so that the newest version stays the newest. */
  synchronized void stopPublishing() {
    publishingStopped = true;
  }

  /** Overwrites the newest version with an older one, which an operator cannot do. */
  synchronized void overwriteWithOlder() {
    stopPublishing();
    put(publishedAtMs.size() - 1);
  }

  /** Returns the newest version. */
  synchronized int newestVersion() {
    return publishedAtMs.size();
  }

  /** Returns when the store acknowledged a version, milliseconds since the start of the run. */
  synchronized long publishedAtMs(int version) {
    return publishedAtMs.get(version - 1);
  }

  /** Returns the path that only hosts that act on a version know. */
  static String pathOf(int version) {
    return "/version-" + version + "/";
  }

  private void put(int version) {
    List<PlatformDocuments.Queue> queues = new ArrayList<>();
    queues.add(new PlatformDocuments.Queue("jobs", JOB_PREFIX, PRIORITY, MAX_ATTEMPTS, false));
    String name = "version-" + version;
    queues.add(new PlatformDocuments.Queue(name, pathOf(version), PRIORITY, MAX_ATTEMPTS, false));
    store.put(
        PlatformDocuments.OPERATOR_TOPIC,
        PlatformDocuments.CONFIGURATION_KEY,
        PlatformDocuments.configuration(version, addresses, queues, List.of(KEY)));
  }
}
