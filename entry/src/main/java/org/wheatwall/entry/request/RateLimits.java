package org.wheatwall.entry.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.wheatwall.core.job.model.Workspace;
import org.wheatwall.entry.common.Clock;

/**
 * Limits the request rate of each workspace. Each entry host enforces an equal share of the limit,
 * since the load balancer spreads callers over all entry hosts.
 */
final class RateLimits {
  private static final double BURST_SECONDS = 1;

  private final Clock clock;
  private final Map<String, TokenBucket> buckets = new ConcurrentHashMap<>();
  private final Map<String, Integer> weights = new ConcurrentHashMap<>();

  private static final class TokenBucket {
    private final double perSecond;
    private double tokens;
    private long refilledAtMs;

    private TokenBucket(double perSecond, long nowMs) {
      this.perSecond = perSecond;
      this.tokens = Math.max(1, perSecond * BURST_SECONDS);
      this.refilledAtMs = nowMs;
    }

    private synchronized boolean tryAcquire(long nowMs) {
      double capacity = Math.max(1, perSecond * BURST_SECONDS);
      tokens = Math.min(capacity, tokens + (nowMs - refilledAtMs) * perSecond / 1000);
      refilledAtMs = nowMs;
      if (tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    }
  }

  RateLimits(Clock clock) {
    this.clock = clock;
  }

  /** Sets a workspace's limit and weight. The limit is divided by {@code entryHosts}. */
  void configure(String name, Workspace workspace, int entryHosts) {
    weights.put(name, workspace.weight());
    if (workspace.requestsPerSecond() == 0) {
      buckets.remove(name);
    } else {
      double share = (double) workspace.requestsPerSecond() / Math.max(1, entryHosts);
      buckets.put(name, new TokenBucket(share, clock.nowMs()));
    }
  }

  void remove(String name) {
    weights.remove(name);
    buckets.remove(name);
  }

  boolean tryAcquire(String workspace) {
    TokenBucket bucket = buckets.get(workspace);
    return bucket == null || bucket.tryAcquire(clock.nowMs());
  }

  int weight(String workspace) {
    return weights.getOrDefault(workspace, 1);
  }
}
