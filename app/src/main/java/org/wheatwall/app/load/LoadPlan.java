package org.wheatwall.app.load;

import java.net.InetSocketAddress;
import java.util.List;
import org.wheatwall.core.common.Names;

/**
 * Parameters of the load generator.
 *
 * @param targets addresses that receive the requests in turn
 * @param path path of every request
 * @param perSecond requests a second, sent on schedule independent of responses
 * @param warmUpSeconds duration of the warm-up, which is not counted; seconds
 * @param seconds duration of the measurement, seconds
 * @param keyed whether each request names a step by an idempotency key, so that the step is not
 *     executed twice
 * @param deadlineMs deadline of each request, milliseconds
 * @param connections maximum number of idle connections to each target
 */
public record LoadPlan(
    List<InetSocketAddress> targets,
    String path,
    int perSecond,
    int warmUpSeconds,
    int seconds,
    boolean keyed,
    int deadlineMs,
    int connections) {
  /** Validates the bounds. */
  public LoadPlan {
    targets = List.copyOf(targets);
    Names.requireRange("rate", perSecond, 1, 1_000_000);
    Names.requireRange("seconds", seconds, 1, 600);
    Names.requireRange("connections", connections, 1, 10_000);
    for (InetSocketAddress target : targets) {
      if (!target.getAddress().isLoopbackAddress()) {
        throw org.wheatwall.core.common.Refusal.invalid(
            target + " is not on this machine", "give an address in 127.0.0.0/8");
      }
    }
  }
}
