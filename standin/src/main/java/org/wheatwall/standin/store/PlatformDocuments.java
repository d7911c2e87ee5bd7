package org.wheatwall.standin.store;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.json.Json;

/** Builds the records that the operator and the workers write to the platform's store. */
public final class PlatformDocuments {
  /** Topic to which the operator writes. */
  public static final String OPERATOR_TOPIC = "keyed.op";

  /** Key of the operator's newest configuration. */
  public static final String CONFIGURATION_KEY = "config";

  /** Topic to which each worker writes its record, under its identifier. */
  public static final String WORKERS_TOPIC = "keyed.servers";

  /** Name of the service that all workers and queues belong to. */
  public static final String SERVICE = "service";

  private static final int PROCESSORS = 32_000;
  private static final int MEMORY_MB = 65_536;

  private PlatformDocuments() {}

  /**
   * A queue in the configuration.
   *
   * @param pathPrefix prefix of the paths of its calls
   * @param priority scheduling priority; 0 is the highest
   * @param requiresPermits whether its steps run only on workers with a permit
   */
  public record Queue(
      String name, String pathPrefix, int priority, int maxAttempts, boolean requiresPermits) {}

  /**
   * Returns a configuration with one workspace that has the given API keys.
   *
   * @param hosts host names by which callers address the queues
   */
  public static byte[] configuration(
      long version, List<String> hosts, List<Queue> queues, List<String> keys) {
    ObjectNode body = Json.mapper().createObjectNode().put("version", version);
    ArrayNode routes = body.putArray("routes");
    for (String host : hosts) {
      queues.forEach(queue -> addRoute(routes.addObject(), host, queue));
    }
    ObjectNode workspace = body.putArray("tenants").addObject().put("name", "workspace");
    ArrayNode apiKeys = workspace.putArray("api_keys");
    keys.forEach(apiKeys::add);
    return Json.bytes(body);
  }

  private static void addRoute(ObjectNode route, String host, Queue queue) {
    route
        .put("name", queue.name() + "@" + host)
        .put("host", host)
        .put("path_prefix", queue.pathPrefix())
        .put("service", SERVICE)
        .put("priority", queue.priority())
        .put("max_attempts", queue.maxAttempts());
    if (queue.requiresPermits()) {
      route.putObject("advice").put("decide_ms", 5).put("each_ms", 1).put("valid_ms", 1000);
    }
  }

  /** Adds the caller's API key and its deadline in milliseconds to a call. */
  public static void addCallerHeaders(HttpCall call, String key, int deadlineMs) {
    call.with("Authorization", "Token " + key).with("X-Deadline-Ms", String.valueOf(deadlineMs));
  }

  /** Returns the record of a worker that listens for commands on a loopback port. */
  public static byte[] workerRecord(int port, long startedAtMs, String rack, int accelerators) {
    ObjectNode body =
        Json.mapper()
            .createObjectNode()
            .put("service", SERVICE)
            .put("address", "127.0.0.1:" + port)
            .put("zone", "zone")
            .put("born", startedAtMs)
            .put("state", "ready");
    body.putArray("labels").add("a").add(rack);
    body.putObject("capacity")
        .put("cpu", PROCESSORS)
        .put("mem_mb", MEMORY_MB)
        .put("gpu", accelerators);
    return Json.bytes(body);
  }

  /** Returns the request body that submits a job with one step. */
  public static byte[] jobBody(String specification, int tasks, int accelerators, boolean gang) {
    ObjectNode body = Json.mapper().createObjectNode().put("spec", specification);
    ObjectNode step = body.putArray("steps").addObject();
    step.put("count", tasks).put("cpu", 100).put("mem_mb", 10).put("gpu", accelerators);
    step.put("gang", gang).put("estimate_ms", 1000);
    return Json.bytes(body);
  }
}
