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

  /** Path prefix of jobs that go before those with {@link #JOB_PREFIX}. */
  static final String URGENT_PREFIX = "/urgent/";

  /** Path prefix of jobs that go behind those with {@link #JOB_PREFIX}. */
  static final String WIDE_PREFIX = "/wide/";

  /** Key that callers send. */
  static final String KEY = "soak-key";

  // Hosts see the address that a caller connected to; every host has its own queues.
  private static final int MAX_ATTEMPTS = 6;
  private static final int URGENT_PRIORITY = 0;
  private static final int PRIORITY = 1;
  private static final int WIDE_PRIORITY = 2;

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
    queues.add(queue("urgent", URGENT_PREFIX, URGENT_PRIORITY));
    queues.add(queue("jobs", JOB_PREFIX, PRIORITY));
    queues.add(queue("wide", WIDE_PREFIX, WIDE_PRIORITY));
    queues.add(queue("version-" + version, pathOf(version), PRIORITY));
    store.put(
        PlatformDocuments.OPERATOR_TOPIC,
        PlatformDocuments.CONFIGURATION_KEY,
        PlatformDocuments.configuration(version, addresses, queues, List.of(KEY)));
  }

  private static PlatformDocuments.Queue queue(String name, String pathPrefix, int priority) {
    return new PlatformDocuments.Queue(name, pathPrefix, priority, MAX_ATTEMPTS, false);
  }
}
