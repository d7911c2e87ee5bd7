package org.wheatwall.entry.common;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.Map;

/** Figures as text, a line each: name, a blank, value. Times are in milliseconds. */
public final class MetricsText {
  private static final double NANOS_PER_MS = 1e6;

  private MetricsText() {}

  /** Returns all figures of a registry. */
  public static String of(MetricRegistry registry) {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, Gauge<?>> gauge : gauges(registry).entrySet()) {
      line(text, gauge.getKey(), String.valueOf(gauge.getValue().getValue()));
    }
    for (Map.Entry<String, Counter> counter : registry.getCounters().entrySet()) {
      line(text, counter.getKey(), String.valueOf(counter.getValue().getCount()));
    }
    for (Map.Entry<String, Timer> timer : registry.getTimers().entrySet()) {
      timer(text, timer.getKey(), timer.getValue());
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

  private static void timer(StringBuilder text, String name, Timer timer) {
    Snapshot times = timer.getSnapshot();
    line(text, name + ".count", String.valueOf(timer.getCount()));
    line(text, name + ".ms.p50", ms(times.getMedian()));
    line(text, name + ".ms.p99", ms(times.get99thPercentile()));
    line(text, name + ".ms.max", ms((double) times.getMax()));
  }

  private static String ms(double nanos) {
    return String.format(Locale.ROOT, "%.3f", nanos / NANOS_PER_MS);
  }

  private static void line(StringBuilder text, String name, String value) {
    text.append(name).append(' ').append(value).append('\n');
  }
}
