package org.wheatwall.entry.batch;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import org.wheatwall.entry.common.Clock;

/**
 * Writes a line for each decision: what it is about, the inputs and their age or version, the
 * outcome. The number of lines a second is bounded; what is left out is counted and told.
 */
public final class DecisionLog {
  private static final Logger LOG = LoggerFactory.getLogger("decisions");
  private static final int LINES_PER_SECOND = 300;
  private static final long SECOND_MS = 1000;

  private final Clock clock;
  private long secondStartMs;
  private int lines;
  private long leftOut;
  private long leftOutTotal;

  /** Creates a log whose bound is counted by {@code clock}. */
  public DecisionLog(Clock clock) {
    this.clock = clock;
    this.secondStartMs = clock.nowMs();
  }

  /** A named input or outcome. */
  public record Field(String name, Object value) {}

  /** Returns a field. */
  public static Field field(String name, Object value) {
    return new Field(name, value);
  }

  /** Writes a line about a decision, unless this second has had its share of lines. */
  public void note(String event, Field... fields) {
    if (!admit()) {
      return;
    }
    LoggingEventBuilder line = LOG.atInfo();
    for (Field field : fields) {
      line = line.addKeyValue(field.name(), field.value());
    }
    line.log(event);
  }

  /** Returns how many lines were left out since the start. */
  public synchronized long leftOut() {
    return leftOutTotal;
  }

  private synchronized boolean admit() {
    long now = clock.nowMs();
    if (now - secondStartMs >= SECOND_MS) {
      if (leftOut > 0) {
        LOG.atWarn().addKeyValue("lines", leftOut).log("log-lines-left-out");
      }
      secondStartMs = now;
      lines = 0;
      leftOut = 0;
    }
    if (lines < LINES_PER_SECOND) {
      lines++;
      return true;
    }
    leftOut++;
    leftOutTotal++;
    return false;
  }
}
