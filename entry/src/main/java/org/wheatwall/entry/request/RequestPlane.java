package org.wheatwall.entry.request;

import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.configuration.model.StoredResource;
import org.wheatwall.core.job.model.Workspace;
import org.wheatwall.core.request.model.Outcome;
import org.wheatwall.core.request.model.ServiceSpec;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.EntrySettings;
import org.wheatwall.entry.configuration.ConfigurationListener;
import org.wheatwall.entry.platform.HostDirectory;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpClient;
import org.wheatwall.wire.http.HttpReply;

/** Answers {@code /call/{service}/{path}}: one outcome for every request. */
public final class RequestPlane implements ConfigurationListener {
  private final EntrySettings.Requests bounds;
  private final Clock clock;
  private final SlotService slots;
  private final StepCoordinator steps;
  private final HostDirectory directory;
  private final HttpClient client;
  private final RateLimits limits;
  private final LongFunction<CompletableFuture<Void>> pause;
  private final String requestPrefix;
  private final AtomicLong nextRequest = new AtomicLong();
  private final Map<Outcome, Meter> outcomes = new EnumMap<>(Outcome.class);
  private final Timer timer;
  private final Meter retries;

  /**
   * Creates the plane.
   *
   * @param pause completes after a time in milliseconds
   * @param requestPrefix start of request identifiers, unique to this process
   */
  public RequestPlane(
      EntrySettings.Requests bounds,
      Clock clock,
      SlotService slots,
      StepCoordinator steps,
      HostDirectory directory,
      HttpClient client,
      LongFunction<CompletableFuture<Void>> pause,
      String requestPrefix,
      MetricRegistry metrics) {
    this.bounds = bounds;
    this.clock = clock;
    this.slots = slots;
    this.steps = steps;
    this.directory = directory;
    this.client = client;
    this.pause = pause;
    this.limits = new RateLimits(clock);
    this.requestPrefix = requestPrefix;
    this.timer =
        metrics.timer(
            "requests.time",
            () -> new Timer(LockFreeExponentiallyDecayingReservoir.builder().build()));
    this.retries = metrics.meter("requests.retries");
    for (Outcome outcome : Outcome.values()) {
      outcomes.put(outcome, metrics.meter("requests." + outcome.label()));
    }
  }

  /** Returns whether a request for {@code target} belongs to this plane. */
  public static boolean serves(String target) {
    return target.startsWith(CallRequest.PREFIX);
  }

  /** Answers one call. */
  public CompletableFuture<HttpReply> handle(HttpCall call) {
    String requestId = newRequestId();
    long startedNs = System.nanoTime();
    return begin(call, requestId)
        .thenApply(
            result -> {
              timer.update(System.nanoTime() - startedNs, TimeUnit.NANOSECONDS);
              return finish(result, requestId);
            });
  }

  /** Answers a request that was refused before it could be read as a call. */
  public HttpReply refuse(Refusal refusal) {
    return finish(CallResult.notRun(refusal, 1), newRequestId());
  }

  private String newRequestId() {
    return requestPrefix + Long.toString(nextRequest.getAndIncrement(), 36);
  }

  private HttpReply finish(CallResult result, String requestId) {
    outcomes.get(result.outcome()).mark();
    return result
        .reply()
        .with(CallRequest.OUTCOME_HEADER, result.outcome().label())
        .with(HttpClient.REQUEST_HEADER, requestId);
  }

  private CompletableFuture<CallResult> begin(HttpCall call, String requestId) {
    CallRequest request;
    try {
      request = CallRequest.read(call, bounds.defaultDeadlineMs(), bounds.maxDeadlineMs());
      check(request);
    } catch (Refusal refusal) {
      return CompletableFuture.completedFuture(CallResult.notRun(refusal, 1));
    }
    ServiceSlots service = slots.slots(request.service());
    service.onFirstTry();
    CallAttempts attempts =
        new CallAttempts(
            request,
            requestId,
            clock.nowMs() + request.deadlineMs(),
            new CallAttempts.Means(
                clock, slots, steps, client, limits.weight(request.workspace()), retries, pause),
            service);
    return attempts.run();
  }

  private void check(CallRequest request) {
    if (!slots.isKnown(request.service())) {
      throw new Refusal(
          RefusalKind.NOT_FOUND,
          "service " + request.service() + " has no runner in the platform's list",
          "check the service's name, or repeat when its runners are listed");
    }
    if (!limits.tryTake(request.workspace())) {
      throw new Refusal(
          RefusalKind.LIMIT,
          "workspace " + request.workspace() + " has reached its requests per second",
          "repeat after the time in Retry-After, or ask for a higher limit");
    }
  }

  @Override
  public void onConfigurationChanged(Collection<StoredResource> objects) {
    for (StoredResource stored : objects) {
      String name = stored.key().name();
      if (stored.key().kind() == ResourceKind.WORKSPACES) {
        if (stored.value().orElse(null) instanceof Workspace workspace) {
          limits.configure(name, workspace, directory.entryHosts().size());
        } else {
          limits.remove(name);
        }
      } else if (stored.key().kind() == ResourceKind.SERVICES) {
        Optional<ServiceSpec> spec =
            stored.value().filter(ServiceSpec.class::isInstance).map(ServiceSpec.class::cast);
        slots.configure(name, spec);
      }
    }
  }
}
