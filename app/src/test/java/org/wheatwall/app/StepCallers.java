package org.wheatwall.app;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Callers that send steps and retry them through any entry host until they are answered. */
final class StepCallers {
  private static final int MAX_ATTEMPTS = 4;
  private static final int MAX_RECORDED_RESPONSES = 5;

  private final List<String> entryHosts = new CopyOnWriteArrayList<>();
  private final Map<String, List<String>> outcomesByKey = new ConcurrentHashMap<>();
  private final Map<String, String> issuedByKey = new ConcurrentHashMap<>();
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicLong nextKey = new AtomicLong();
  private final AtomicInteger mismatchedResponses = new AtomicInteger();
  private final AtomicLong longestMs = new AtomicLong();
  private final List<String> unanswered = new CopyOnWriteArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
  private final String prefix;
  private final boolean keyed;
  private volatile boolean stopped;

  StepCallers(String prefix) {
    this(prefix, true);
  }

  private StepCallers(String prefix, boolean keyed) {
    this.prefix = prefix;
    this.keyed = keyed;
  }

  /** Returns callers that send each request once, as an idempotent read. */
  static StepCallers forReads() {
    return new StepCallers("read-", false);
  }

  void add(TestProcess entry) {
    entryHosts.add(entry.address());
  }

  void remove(TestProcess entry) {
    entryHosts.remove(entry.address());
  }

  void start(int callers) {
    for (int i = 0; i < callers; i++) {
      SplittableRandom random = new SplittableRandom(i);
      Thread thread = new Thread(() -> call(random), "caller-" + i);
      threads.add(thread);
      thread.start();
    }
  }

  void stop() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
  }

  /** Retries all unanswered steps and every tenth of the others; returns how many were retried. */
  int retryOldSteps() {
    List<String> keys = new ArrayList<>();
    outcomesByKey.forEach(
        (key, outcomes) -> {
          if (!outcomes.contains("answered") || key.endsWith("0")) {
            keys.add(key);
          }
        });
    keys.parallelStream().forEach(this::retry);
    return keys.size();
  }

  private void retry(String key) {
    String entryHost = entryHosts.get(Math.floorMod(key.hashCode(), entryHosts.size()));
    outcomesByKey.get(key).add(send(entryHost, key, issuedByKey.get(key)));
  }

  Map<String, List<String>> outcomesByKey() {
    return outcomesByKey;
  }

  int mismatchedResponses() {
    return mismatchedResponses.get();
  }

  /** Returns the duration of the longest call, in milliseconds. */
  long longestMs() {
    return longestMs.get();
  }

  /** Returns the first few response bodies of requests that were not answered. */
  List<String> unanswered() {
    return unanswered;
  }

  private void call(SplittableRandom random) {
    while (!stopped) {
      String key = prefix + nextKey.getAndIncrement();
      String issuedMs = String.valueOf(System.currentTimeMillis());
      List<String> outcomes = new ArrayList<>();
      int attempts = keyed ? MAX_ATTEMPTS : 1;
      for (int i = 0; i < attempts && !outcomes.contains("answered"); i++) {
        String entry = entryHosts.get(random.nextInt(entryHosts.size()));
        outcomes.add(send(entry, key, issuedMs));
      }
      outcomesByKey.put(key, outcomes);
      issuedByKey.put(key, issuedMs);
    }
  }

  private String send(String entry, String key, String issuedMs) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://" + entry + "/call/refill/dispense"))
            .timeout(Duration.ofSeconds(5))
            .header("Wheatwall-Deadline-Ms", "2000")
            .method(keyed ? "POST" : "PUT", HttpRequest.BodyPublishers.ofString("mark-" + key));
    if (keyed) {
      builder.header("Idempotency-Key", key).header("Wheatwall-Issued-Ms", issuedMs);
    }
    HttpRequest request = builder.build();
    long startedNs = System.nanoTime();
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      String outcome = response.headers().firstValue("Wheatwall-Outcome").orElse("none");
      if (!outcome.equals("answered") && unanswered.size() < MAX_RECORDED_RESPONSES) {
        unanswered.add(response.body());
      }
      if (outcome.equals("answered") && !response.body().endsWith(" mark-" + key)) {
        mismatchedResponses.incrementAndGet();
      }
      return outcome;
    } catch (IOException e) {
      // The entry host was killed or paused; the outcome is unknown to the caller.
      return "lost";
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return "lost";
    } finally {
      longestMs.accumulateAndGet((System.nanoTime() - startedNs) / 1_000_000, Math::max);
    }
  }
}
