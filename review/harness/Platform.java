package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;

/** The operator's configuration: one tenant and its queues. */
final class Platform {
  static final String SERVICE = "portabilidad";
  static final String KEY = "d4a3hwrr6x73d3zji9n7";
  static final String HOST = "nony24.example";

  private static final int GUARANTEED_GPU = 48;

  /** Bounds of the site coplit-wheatwall that the scenarios use. */
  static final double CONTACT_S = 3;

  static final double CANCEL_S = 3;
  static final double STOP_S = 0.2;
  static final double VISIBLE_S = 3;
  static final double FINISH_S = 14;

  /**
   * A queue.
   *
   * @param priority priority of its jobs; 0 goes first
   */
  record Queue(String prefix, int priority, int maxAttempts, double stretch, int targetMs) {}

  static final Queue CONFIRM = new Queue("/pufi791/", 0, 2, 1.5, 250);
  static final Queue SWEEP = new Queue("/lohu930/", 1, 2, 3.0, 1000);
  static final Queue RECONCILE = new Queue("/pule252/", 2, 3, 3.0, 3000);

  private Platform() {}

  /** Writes a version of the configuration. */
  static void publish(Store store, int version, List<Queue> queues) throws IOException {
    ObjectNode body = Http.JSON.createObjectNode().put("version", version);
    ArrayNode routes = body.putArray("routes");
    for (Queue queue : queues) {
      routes
          .addObject()
          .put("name", "r-" + queue.prefix().replace("/", ""))
          .put("host", HOST)
          .put("path_prefix", queue.prefix())
          .put("type", "non_idempotent")
          .put("timeout_ms", 3000)
          .put("target_latency_ms", queue.targetMs())
          .put("priority", queue.priority())
          .put("service", SERVICE)
          .put("max_attempts", queue.maxAttempts())
          .put("stretch", queue.stretch())
          .put("public", false);
    }
    body.putArray("services")
        .addObject()
        .put("name", SERVICE)
        .put("health_path", "/health")
        .put("enforces_capacity", true);
    ObjectNode tenant = body.putArray("tenants").addObject().put("name", "kaje80");
    tenant.putArray("api_keys").add(KEY);
    tenant.putObject("guaranteed").put("gpu", GUARANTEED_GPU);
    store.put("keyed.op", "config", Http.bytes(body));
  }
}
