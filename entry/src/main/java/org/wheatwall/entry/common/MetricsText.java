package org.wheatwall.entry.common;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.Map;

/** Formats metrics as text, one per line: name, space, value. Times are in milliseconds. */
public final class MetricsText {
  private static final double NANOS_PER_MS = 1e6;

  private MetricsText() {}

  /** Returns all gauges, counters and timers of a registry as text. */
  public static String of(MetricRegistry registry) {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, Gauge<?>> gauge : gauges(registry).entrySet()) {
      appendLine(text, gauge.getKey(), String.valueOf(gauge.getValue().getValue()));
    }
    for (Map.Entry<String, Counter> counter : registry.getCounters().entrySet()) {
      appendLine(text, counter.getKey(), String.valueOf(counter.getValue().getCount()));
    }
    for (Map.Entry<String, Timer> timer : registry.getTimers().entrySet()) {
      appendTimer(text, timer.getKey(), timer.getValue());
    }
    return text.toString();
  }

  @SuppressWarnings("rawtypes")
  private static Map<String, Gauge<?>> gauges(MetricRegistry registry) {
    Map<String, Gauge<?>> gauges = new java.util.TreeMap<>();
    for (Map.Entry<String, Gauge> entry : registry.getGauges().entrySet()) {
      gauges.put(entry.getKey(), entry.getValue());
    }
    return gauges;
  }

  private static void appendTimer(StringBuilder text, String name, Timer timer) {
    Snapshot times = timer.getSnapshot();
    appendLine(text, name + ".count", String.valueOf(timer.getCount()));
    appendLine(text, name + ".ms.p50", formatMs(times.getMedian()));
    appendLine(text, name + ".ms.p99", formatMs(times.get99thPercentile()));
    appendLine(text, name + ".ms.max", formatMs((double) times.getMax()));
  }

  private static String formatMs(double nanos) {
    return String.format(Locale.ROOT, "%.3f", nanos / NANOS_PER_MS);
  }

  private static void appendLine(StringBuilder text, String name, String value) {
    text.append(name).append(' ').append(value).append('\n');
  }
}
