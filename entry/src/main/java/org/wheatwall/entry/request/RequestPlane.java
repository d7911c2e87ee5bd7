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

/** Handles calls to {@code /call/{service}/{path}}. Every request gets exactly one outcome. */
public final class RequestPlane implements ConfigurationListener {
  private final EntrySettings.Requests limits;
  private final Clock clock;
  private final SlotService slots;
  private final StepCoordinator steps;
  private final HostDirectory directory;
  private final HttpClient client;
  private final RateLimits rateLimits;
  private final LongFunction<CompletableFuture<Void>> delay;
  private final String requestPrefix;
  private final AtomicLong nextRequest = new AtomicLong();
  private final Map<Outcome, Meter> outcomes = new EnumMap<>(Outcome.class);
  private final Timer timer;
  private final Meter retries;

  /**
   * Creates the plane.
   *
   * @param delay returns a future that completes after the given number of milliseconds
   * @param requestPrefix prefix of request identifiers, unique to this process
   */
  public RequestPlane(
      EntrySettings.Requests limits,
      Clock clock,
      SlotService slots,
      StepCoordinator steps,
      HostDirectory directory,
      HttpClient client,
      LongFunction<CompletableFuture<Void>> delay,
      String requestPrefix,
      MetricRegistry metrics) {
    this.limits = limits;
    this.clock = clock;
    this.slots = slots;
    this.steps = steps;
    this.directory = directory;
    this.client = client;
    this.delay = delay;
    this.rateLimits = new RateLimits(clock);
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

  /** Handles one call. */
  public CompletableFuture<HttpReply> handle(HttpCall call) {
    String requestId = newRequestId();
    long startedNs = System.nanoTime();
    return start(call, requestId)
        .thenApply(
            result -> {
              timer.update(System.nanoTime() - startedNs, TimeUnit.NANOSECONDS);
              return finish(result, requestId);
            });
  }

  /** Returns the reply to a request that was refused before it could be parsed as a call. */
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

  private CompletableFuture<CallResult> start(HttpCall call, String requestId) {
    CallRequest request;
    try {
      request = CallRequest.parse(call, limits.defaultDeadlineMs(), limits.maxDeadlineMs());
      checkAdmissible(request);
    } catch (Refusal refusal) {
      return CompletableFuture.completedFuture(CallResult.notRun(refusal, 1));
    }
    ServiceSlots service = slots.slots(request.service());
    service.onFirstAttempt();
    CallAttempts attempts =
        new CallAttempts(
            request,
            requestId,
            clock.nowMs() + request.deadlineMs(),
            new CallAttempts.Context(
                clock,
                slots,
                steps,
                client,
                rateLimits.weight(request.workspace()),
                retries,
                delay),
            service);
    return attempts.run();
  }

  private void checkAdmissible(CallRequest request) {
    if (!slots.isServiceListed(request.service())) {
      throw new Refusal(
          RefusalKind.NOT_FOUND,
          "service " + request.service() + " has no runner in the platform's list",
          "check the service's name, or repeat when its runners are listed");
    }
    if (!rateLimits.tryAcquire(request.workspace())) {
      throw new Refusal(
          RefusalKind.LIMIT,
          "workspace " + request.workspace() + " has reached its requests per second",
          "repeat after the time in Retry-After, or ask for a higher limit");
    }
  }

  @Override
  public void onConfigurationChanged(Collection<StoredResource> resources) {
    for (StoredResource stored : resources) {
      String name = stored.key().name();
      if (stored.key().kind() == ResourceKind.WORKSPACES) {
        if (stored.value().orElse(null) instanceof Workspace workspace) {
          rateLimits.configure(name, workspace, directory.entryHosts().size());
        } else {
          rateLimits.remove(name);
        }
      } else if (stored.key().kind() == ResourceKind.SERVICES) {
        Optional<ServiceSpec> spec =
            stored.value().filter(ServiceSpec.class::isInstance).map(ServiceSpec.class::cast);
        slots.configure(name, spec);
      }
    }
  }
}
