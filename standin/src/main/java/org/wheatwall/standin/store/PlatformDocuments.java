package org.wheatwall.standin.store;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.json.Json;

/** The records that the operator and the workers keep in the platform's store. */
public final class PlatformDocuments {
  /** Topic to which the operator writes. */
  public static final String OPERATOR_TOPIC = "keyed.op";

  /** Key of the operator's newest configuration. */
  public static final String CONFIGURATION_KEY = "config";

  /** Topic to which workers write, each under its identifier. */
  public static final String WORKERS_TOPIC = "keyed.servers";

  /** Service of all workers and queues here. */
  public static final String SERVICE = "service";

  private static final int PROCESSORS = 32_000;
  private static final int MEMORY_MB = 65_536;

  private PlatformDocuments() {}

  /**
   * A queue of the configuration.
   *
   * @param pathPrefix begins the paths of its calls
   * @param priority 0 goes first
   * @param requiresPermits whether its steps run only where a permit was given
   */
  public record Queue(
      String name, String pathPrefix, int priority, int maxAttempts, boolean requiresPermits) {}

  /**
   * Returns a configuration whose one workspace has the keys given.
   *
   * @param hosts names by which callers address the queues
   */
  public static byte[] configuration(
      long version, List<String> hosts, List<Queue> queues, List<String> keys) {
    ObjectNode body = Json.mapper().createObjectNode().put("version", version);
    ArrayNode routes = body.putArray("routes");
    for (String host : hosts) {
      queues.forEach(queue -> route(routes.addObject(), host, queue));
    }
    ObjectNode workspace = body.putArray("tenants").addObject().put("name", "workspace");
    ArrayNode held = workspace.putArray("api_keys");
    keys.forEach(held::add);
    return Json.bytes(body);
  }

  private static void route(ObjectNode route, String host, Queue queue) {
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

  /** Sets what a caller says of itself: its key, and how long it waits. */
  public static void addCallerHeaders(HttpCall call, String key, int deadlineMs) {
    call.with("Authorization", "Token " + key).with("X-Deadline-Ms", String.valueOf(deadlineMs));
  }

  /** Returns the entry of a worker that takes orders at a port of the loopback address. */
  public static byte[] workerRecord(int port, long bornMs, String rack, int accelerators) {
    ObjectNode body =
        Json.mapper()
            .createObjectNode()
            .put("service", SERVICE)
            .put("address", "127.0.0.1:" + port)
            .put("zone", "zone")
            .put("born", bornMs)
            .put("state", "ready");
    body.putArray("labels").add("a").add(rack);
    body.putObject("capacity")
        .put("cpu", PROCESSORS)
        .put("mem_mb", MEMORY_MB)
        .put("gpu", accelerators);
    return Json.bytes(body);
  }

  /** Returns the body with which a job of one step is handed in. */
  public static byte[] jobBody(String specification, int tasks, int accelerators, boolean gang) {
    ObjectNode body = Json.mapper().createObjectNode().put("spec", specification);
    ObjectNode step = body.putArray("steps").addObject();
    step.put("count", tasks).put("cpu", 100).put("mem_mb", 10).put("gpu", accelerators);
    step.put("gang", gang).put("estimate_ms", 1000);
    return Json.bytes(body);
  }
}
