package org.wheatwall.wire.http;

import io.netty.channel.Channel;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the rejections of a server by reason, and logs them: at most one line per reason and
 * second, with the number of rejections since the previous line.
 */
public final class Rejections {
  private static final Logger LOG = LoggerFactory.getLogger(Rejections.class);
  private static final long LINE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Map<RejectionReason, Tally> tallies = new EnumMap<>(RejectionReason.class);

  /** Creates counts of 0. */
  public Rejections() {
    for (RejectionReason reason : RejectionReason.values()) {
      tallies.put(reason, new Tally());
    }
  }

  /**
   * Records a rejection.
   *
   * @param heldBytes estimated memory that the connection held, bytes
   * @param detail what was rejected, for the log
   */
  public void record(RejectionReason reason, Channel channel, long heldBytes, String detail) {
    long sinceLine = tallies.get(reason).add(System.nanoTime());
    if (sinceLine > 0) {
      LOG.atInfo()
          .addKeyValue("reason", reason.label())
          .addKeyValue("count", sinceLine)
          .addKeyValue("listener", channel.localAddress())
          .addKeyValue("caller", channel.remoteAddress())
          .addKeyValue("heldBytes", heldBytes)
          .addKeyValue("detail", detail)
          .log("requests-rejected");
    }
  }

  /** Returns how often something was rejected for a reason. */
  public long count(RejectionReason reason) {
    return tallies.get(reason).total();
  }

  private static final class Tally {
    private long total;
    private long logged;
    private long loggedAtNanos;

    /** Counts one more; returns how many the next log line stands for, 0 if none is due. */
    synchronized long add(long nowNanos) {
      total++;
      if (logged > 0 && nowNanos - loggedAtNanos < LINE_INTERVAL_NANOS) {
        return 0;
      }
      long sinceLine = total - logged;
      logged = total;
      loggedAtNanos = nowNanos;
      return sinceLine;
    }

    synchronized long total() {
      return total;
    }
  }
}
