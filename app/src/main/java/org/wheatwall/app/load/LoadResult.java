package org.wheatwall.app.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.wheatwall.wire.json.Json;

/** The result of a load: counts by outcome, and latencies from the time a request was due. */
public final class LoadResult {
  private static final long MAX_RECORDED_NS = 120_000_000_000L;
  private static final double NANOS_PER_MS = 1e6;

  private final Histogram answeredNs = new Histogram(MAX_RECORDED_NS, 3);
  private final Histogram otherNs = new Histogram(MAX_RECORDED_NS, 3);
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private double seconds;

  synchronized void record(String outcome, long sinceDueNs) {
    outcomes.merge(outcome, 1, Integer::sum);
    Histogram histogram = outcome.equals("answered") ? answeredNs : otherNs;
    histogram.recordValue(Math.max(0, Math.min(MAX_RECORDED_NS, sinceDueNs)));
  }

  synchronized void setElapsed(double elapsedSeconds) {
    seconds = elapsedSeconds;
  }

  /** Returns the number of answered requests a second. */
  public synchronized double goodput() {
    return outcomes.getOrDefault("answered", 0) / seconds;
  }

  /** Returns the count of an outcome. */
  public synchronized int count(String outcome) {
    return outcomes.getOrDefault(outcome, 0);
  }

  /** Returns a percentile of the latency of answered requests, milliseconds. */
  public synchronized double answeredMs(double percentile) {
    return answeredNs.getValueAtPercentile(percentile) / NANOS_PER_MS;
  }

  /** Returns the result as a JSON object. */
  public synchronized ObjectNode document() {
    ObjectNode node = Json.mapper().createObjectNode();
    node.put("seconds", seconds);
    node.put("goodputPerSecond", goodput());
    node.set("outcomes", Json.mapper().valueToTree(outcomes));
    node.set("answeredMs", percentiles(answeredNs));
    node.set("otherMs", percentiles(otherNs));
    return node;
  }

  private static ObjectNode percentiles(Histogram histogram) {
    ObjectNode node = Json.mapper().createObjectNode();
    node.put("p50", histogram.getValueAtPercentile(50) / NANOS_PER_MS);
    node.put("p99", histogram.getValueAtPercentile(99) / NANOS_PER_MS);
    node.put("p999", histogram.getValueAtPercentile(99.9) / NANOS_PER_MS);
    node.put("max", histogram.getMaxValue() / NANOS_PER_MS);
    return node;
  }
}
