package org.wheatwall.entry.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.common.Resource;
import org.wheatwall.core.common.Selector;
import org.wheatwall.core.configuration.decision.ConfigurationReplica;
import org.wheatwall.core.configuration.model.CapacitySummary;
import org.wheatwall.core.configuration.model.ResourceKey;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.configuration.model.StoredResource;
import org.wheatwall.core.configuration.model.Verdict;
import org.wheatwall.core.job.decision.CapacitySummaries;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.WorkerHost;
import org.wheatwall.entry.configuration.ConfigurationService;
import org.wheatwall.entry.configuration.Draft;
import org.wheatwall.entry.platform.HostDirectory;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.json.Json;
import org.wheatwall.wire.json.ResourceCodec;
import org.wheatwall.wire.platform.ListedHost;

/**
 * The HTTP API for operators under {@code /v1}: reads, and changes that name the version they are
 * based on. A change is reported as accepted only after it was read back from the log.
 */
public final class OperatorApi {
  private static final String PREFIX = "/v1/";
  private static final int DEFAULT_PAGE_LIMIT = 100;
  private static final int MAX_PAGE_LIMIT = 1000;
  private static final long READ_BACK_TIMEOUT_MS = 3000;

  private final ConfigurationService configuration;
  private final HostDirectory directory;
  private final JobExplainer explainer;
  private final StateDump dump;
  private final Supplier<Boolean> draining;

  /** Creates the API. */
  public OperatorApi(
      ConfigurationService configuration,
      HostDirectory directory,
      JobExplainer explainer,
      StateDump dump,
      Supplier<Boolean> draining) {
    this.configuration = configuration;
    this.directory = directory;
    this.explainer = explainer;
    this.dump = dump;
    this.draining = draining;
  }

  /** Handles a call; throws a {@link Refusal} if it is invalid or {@code access} rejects it. */
  public CompletableFuture<HttpReply> handle(HttpCall call, AccessRule access) {
    return handle(call, access.check(call));
  }

  private CompletableFuture<HttpReply> handle(HttpCall call, JobScope scope) {
    String path = call.path();
    if (!path.startsWith(PREFIX)) {
      throw notFound(path);
    }
    String[] parts = path.substring(PREFIX.length()).split("/", -1);
    return switch (parts[0]) {
      case "state" -> {
        scope.requireUnrestricted();
        yield dump.state().thenApply(state -> HttpReply.json(200, Json.bytes(state)));
      }
      case "metrics" -> {
        scope.requireUnrestricted();
        yield CompletableFuture.completedFuture(HttpReply.json(200, Json.bytes(dump.metrics())));
      }
      case "health" -> CompletableFuture.completedFuture(health(parts));
      default -> resource(call, parts, scope);
    };
  }

  private HttpReply health(String[] parts) {
    boolean live = parts.length == 2 && parts[1].equals("live");
    if (live) {
      return HttpReply.text(200, "live\n");
    }
    if (parts.length != 2 || !parts[1].equals("ready")) {
      throw notFound("/v1/health");
    }
    boolean ready = configuration.ready().isDone() && !draining.get();
    return HttpReply.text(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }

  private CompletableFuture<HttpReply> resource(HttpCall call, String[] parts, JobScope scope) {
    ResourceKind kind =
        ResourceKind.ofPath(parts[0])
            .filter(found -> found != ResourceKind.VIEWS || call.method().equals("GET"))
            .orElseThrow(() -> notFound(call.path()));
    scope.requireKind(kind);
    if (parts.length == 1 && call.method().equals("GET")) {
      return list(kind, call, scope);
    }
    if (parts.length == 3 && kind == ResourceKind.JOBS && parts[2].equals("explain")) {
      return explain(parts[1], scope);
    }
    if (parts.length != 2) {
      throw notFound(call.path());
    }
    ResourceKey key = new ResourceKey(kind, parts[1]);
    return switch (call.method()) {
      case "GET" -> get(key, scope);
      case "PUT" -> put(key, call, scope);
      case "DELETE" -> delete(key, call, scope);
      default -> throw Refusal.invalid("method " + call.method(), "use GET, PUT or DELETE");
    };
  }

  private CompletableFuture<HttpReply> list(ResourceKind kind, HttpCall call, JobScope scope) {
    Selector selector = Selector.parse(call.query("labelSelector").orElse(""));
    int limit = limit(call);
    String after = call.query("continue").orElse("");
    return configuration
        .query(replica -> replica.list(kind))
        .thenApply(
            all -> {
              ObjectNode page = Json.mapper().createObjectNode();
              ArrayNode items = page.putArray("items");
              for (StoredResource stored : all) {
                boolean matches =
                    stored.key().name().compareTo(after) > 0
                        && scope.includes(stored.value().orElseThrow())
                        && selector.matches(stored.value().orElseThrow().labels());
                if (matches && items.size() == limit) {
                  page.put("continue", items.get(limit - 1).get("name").asText());
                  break;
                }
                if (matches) {
                  items.add(document(stored));
                }
              }
              return HttpReply.json(200, Json.bytes(page));
            });
  }

  private static int limit(HttpCall call) {
    try {
      int limit = call.query("limit").map(Integer::parseInt).orElse(DEFAULT_PAGE_LIMIT);
      return org.wheatwall.core.common.Names.requireRange("limit", limit, 1, MAX_PAGE_LIMIT);
    } catch (NumberFormatException e) {
      throw Refusal.invalid("limit is not a number", "give a whole number up to " + MAX_PAGE_LIMIT);
    }
  }

  private CompletableFuture<HttpReply> get(ResourceKey key, JobScope scope) {
    return configuration
        .query(replica -> visible(replica, key, scope))
        .thenApply(
            stored ->
                stored
                    .map(found -> HttpReply.json(200, Json.bytes(document(found))))
                    .map(reply -> reply)
                    .orElseThrow(() -> notFound(key.toString())));
  }

  private static Optional<StoredResource> visible(
      ConfigurationReplica replica, ResourceKey key, JobScope scope) {
    return replica.get(key).filter(stored -> stored.value().map(scope::includes).orElse(true));
  }

  private CompletableFuture<HttpReply> explain(String name, JobScope scope) {
    ResourceKey key = new ResourceKey(ResourceKind.JOBS, name);
    return configuration
        .query(replica -> visible(replica, key, scope))
        .thenCompose(
            stored -> {
              if (stored.isEmpty()) {
                throw notFound(key.toString());
              }
              return explainer.explain(name, ((Job) stored.get().value().orElseThrow()).zone());
            })
        .thenApply(document -> HttpReply.json(200, document));
  }

  private CompletableFuture<HttpReply> put(ResourceKey key, HttpCall call, JobScope scope) {
    Resource value = ResourceCodec.read(key.kind(), call.body());
    checkJobPhase(value);
    scope.requireIncluded(value);
    Optional<CapacitySummary> capacity =
        key.kind() == ResourceKind.SHAPES ? Optional.of(capacity()) : Optional.empty();
    return publish(key, call, scope, Optional.of(value), capacity);
  }

  private static void checkJobPhase(Resource value) {
    boolean isEndPhase =
        value instanceof Job job
            && (job.phase() == JobPhase.SUCCEEDED || job.phase() == JobPhase.FAILED);
    if (isEndPhase) {
      throw Refusal.invalid(
          "a job's end is written by the decider", "leave phase out, or write cancelled");
    }
  }

  private CompletableFuture<HttpReply> delete(ResourceKey key, HttpCall call, JobScope scope) {
    return configuration
        .query(replica -> visible(replica, key, scope))
        .thenCompose(
            stored -> {
              if (stored.isEmpty()) {
                throw notFound(key.toString());
              }
              boolean notEnded =
                  stored.get().value().orElseThrow() instanceof Job job && !job.phase().isFinal();
              if (notEnded) {
                throw Refusal.invalid(key + " has not ended", "cancel the job first");
              }
              return publish(key, call, scope, Optional.empty(), Optional.empty());
            });
  }

  private CompletableFuture<HttpReply> publish(
      ResourceKey key,
      HttpCall call,
      JobScope scope,
      Optional<Resource> value,
      Optional<CapacitySummary> capacity) {
    Optional<Long> ifMatch = ifMatch(call);
    return configuration
        .query(
            replica -> {
              // Basing the change on the version read here ties it to the object whose scope was
              // checked.
              replica.get(key).flatMap(StoredResource::value).ifPresent(scope::requireIncluded);
              return requireBaseVersion(
                  replica.baseVersion(key), replica.get(key).isPresent(), ifMatch, key);
            })
        .thenCompose(
            base ->
                configuration
                    .publish(new Draft(key, base, value, capacity, Draft.Priority.OPERATOR))
                    .thenApply(verdict -> acceptedReply(key, verdict))
                    .completeOnTimeout(
                        pendingReply(), READ_BACK_TIMEOUT_MS, TimeUnit.MILLISECONDS));
  }

  // Without If-Match only a creation is allowed, since it cannot overwrite a concurrent change.
  private static long requireBaseVersion(
      long current, boolean exists, Optional<Long> ifMatch, ResourceKey key) {
    if (ifMatch.isEmpty() && exists) {
      throw new Refusal(
          RefusalKind.STALE_VERSION,
          key + " exists at version " + current,
          "send If-Match with the version that your change is based on");
    }
    if (ifMatch.isPresent() && ifMatch.get() != current) {
      throw new Refusal(
          RefusalKind.STALE_VERSION,
          key + " is at version " + current + ", not " + ifMatch.get(),
          "read the object again, apply your edit and repeat");
    }
    return current;
  }

  private static Optional<Long> ifMatch(HttpCall call) {
    try {
      return call.header("If-Match").map(text -> Long.parseLong(text.replace("\"", "").trim()));
    } catch (NumberFormatException e) {
      throw Refusal.invalid("If-Match is not a version", "send the version that a read returned");
    }
  }

  private static HttpReply acceptedReply(ResourceKey key, Verdict verdict) {
    if (!verdict.accepted()) {
      throw verdict.toRefusal();
    }
    ObjectNode document = Json.mapper().createObjectNode();
    document.put("kind", key.kind().path());
    document.put("name", key.name());
    document.put("version", verdict.version());
    return HttpReply.json(200, Json.bytes(document)).with("ETag", "\"" + verdict.version() + "\"");
  }

  private static HttpReply pendingReply() {
    ObjectNode document = Json.mapper().createObjectNode();
    document.put("status", "appended or queued, not yet read back from the log");
    document.put("remedy", "read the object to see whether the change came into force");
    return HttpReply.json(202, Json.bytes(document));
  }

  private CapacitySummary capacity() {
    List<WorkerHost> hosts =
        directory.workers().stream()
            .filter(host -> host.state() == ListedHost.State.LIVE)
            .map(ListedHost::toWorkerHost)
            .toList();
    return CapacitySummaries.of(hosts);
  }

  private static ObjectNode document(StoredResource stored) {
    ObjectNode node = Json.mapper().createObjectNode();
    node.put("kind", stored.key().kind().path());
    node.put("name", stored.key().name());
    node.put("version", stored.version());
    node.set("spec", ResourceCodec.write(stored.value().orElseThrow()));
    return node;
  }

  private static Refusal notFound(String what) {
    return new Refusal(
        RefusalKind.NOT_FOUND, what + " does not exist", "check the path, kind and name");
  }
}
