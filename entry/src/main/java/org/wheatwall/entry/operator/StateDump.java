package org.wheatwall.entry.operator;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metered;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.wheatwall.wire.json.Json;

/** Writes the state of the process and its metrics as JSON. */
public final class StateDump {
  private static final double NANOS_PER_MS = 1e6;

  private final MetricRegistry metrics;
  private final Supplier<CompletableFuture<ObjectNode>> state;

  /** Creates a dump. */
  public StateDump(MetricRegistry metrics, Supplier<CompletableFuture<ObjectNode>> state) {
    this.metrics = metrics;
    this.state = state;
  }

  /** Returns the state of the process. */
  public CompletableFuture<ObjectNode> state() {
    return state.get();
  }

  /** Returns the metrics by name. */
  public ObjectNode metrics() {
    ObjectNode root = Json.mapper().createObjectNode();
    for (Map.Entry<String, Metric> entry : metrics.getMetrics().entrySet()) {
      root.set(entry.getKey(), write(entry.getValue()));
    }
    return root;
  }

  private static ObjectNode write(Metric metric) {
    ObjectNode node = Json.mapper().createObjectNode();
    if (metric instanceof Gauge<?> gauge) {
      node.putPOJO("value", gauge.getValue());
    }
    if (metric instanceof Counting counting) {
      node.put("count", counting.getCount());
    }
    if (metric instanceof Metered metered) {
      node.put("perSecond", metered.getOneMinuteRate());
    }
    if (metric instanceof Sampling sampling) {
      double unitDivisor = metric instanceof Metered ? NANOS_PER_MS : 1;
      var snapshot = sampling.getSnapshot();
      node.put("p50", snapshot.getMedian() / unitDivisor);
      node.put("p99", snapshot.get99thPercentile() / unitDivisor);
      node.put("p999", snapshot.get999thPercentile() / unitDivisor);
      node.put("max", snapshot.getMax() / unitDivisor);
    }
    return node;
  }
}
