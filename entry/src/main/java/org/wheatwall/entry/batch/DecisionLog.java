package org.wheatwall.entry.batch;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import org.wheatwall.entry.common.Clock;

/**
 * Logs a line for each decision: its subject, the inputs with their age or version, and the
 * outcome. The number of lines per second is limited; lines above the limit are dropped and
 * counted, and the count is logged.
 */
public final class DecisionLog {
  private static final Logger LOG = LoggerFactory.getLogger("decisions");
  private static final int MAX_LINES_PER_SECOND = 300;
  private static final long SECOND_MS = 1000;

  private final Clock clock;
  private long secondStartMs;
  private int lines;
  private long droppedLines;
  private long totalDroppedLines;

  /** Creates a log whose rate limit uses {@code clock}. */
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

  /** Logs a line about a decision, unless the limit of this second is reached. */
  public void log(String event, Field... fields) {
    if (!admit()) {
      return;
    }
    LoggingEventBuilder line = LOG.atInfo();
    for (Field field : fields) {
      line = line.addKeyValue(field.name(), field.value());
    }
    line.log(event);
  }

  /** Returns how many lines were dropped since the start. */
  public synchronized long droppedLines() {
    return totalDroppedLines;
  }

  private synchronized boolean admit() {
    long now = clock.nowMs();
    if (now - secondStartMs >= SECOND_MS) {
      if (droppedLines > 0) {
        LOG.atWarn().addKeyValue("lines", droppedLines).log("log-lines-left-out");
      }
      secondStartMs = now;
      lines = 0;
      droppedLines = 0;
    }
    if (lines < MAX_LINES_PER_SECOND) {
      lines++;
      return true;
    }
    droppedLines++;
    totalDroppedLines++;
    return false;
  }
}
