package org.wheatwall.entry.job;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.wheatwall.core.configuration.model.StoredResource;
import org.wheatwall.core.configuration.model.Verdict;
import org.wheatwall.core.gang.decision.GangAttempt;
import org.wheatwall.core.gang.model.WorkerReport;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.shadow.PolicyMetrics;
import org.wheatwall.core.job.shadow.ShadowRun;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.core.membership.model.ZoneView;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.DecisionLoop;
import org.wheatwall.entry.common.EntrySettings;
import org.wheatwall.entry.configuration.ConfigurationListener;
import org.wheatwall.entry.configuration.ConfigurationService;
import org.wheatwall.entry.configuration.Draft;
import org.wheatwall.entry.membership.MembershipListener;
import org.wheatwall.entry.membership.MembershipService;
import org.wheatwall.entry.membership.ViewLeaseStatus;
import org.wheatwall.entry.platform.HostDirectory;
import org.wheatwall.entry.platform.WorkerService;
import org.wheatwall.wire.json.Json;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.HeartbeatReply;
import org.wheatwall.wire.message.JobQuery;
import org.wheatwall.wire.message.JobReply;
import org.wheatwall.wire.platform.ListedHost;
import org.wheatwall.wire.platform.WorkerExchange;

/**
 * The job plane of an entry host: runs {@link Decider} on the decision loop and connects it to
 * membership, configuration, the host list and the workers.
 */
public final class JobPlane implements ConfigurationListener, MembershipListener {
  /** Name of the duty of the zone's decider. */
  public static final String DUTY = "decider";

  private static final long TICK_MS = 50;
  private static final int MAX_DUMPED_ATTEMPTS = 500;

  private final String zone;
  private final Clock clock;
  private final MembershipService membership;
  private final ConfigurationService configurationService;
  private final HostDirectory directory;
  private final WorkerService workers;
  private final ScheduledExecutorService timer;
  private final DecisionLoop loop;
  private final Decider decider;
  private final LeaseKeeper leaseKeeper;
  // Confined to the decision loop.
  private ViewLeaseStatus lastLeaseStatus = ViewLeaseStatus.NONE;
  private boolean heldDutyContinuously;

  /** Creates the job plane without starting it. */
  public JobPlane(
      EntrySettings settings,
      Clock clock,
      MembershipService membership,
      ConfigurationService configurationService,
      HostDirectory directory,
      WorkerService workers,
      ScheduledExecutorService timer,
      MetricRegistry metrics) {
    this.zone = settings.zone();
    this.clock = clock;
    this.membership = membership;
    this.configurationService = configurationService;
    this.directory = directory;
    this.workers = workers;
    this.timer = timer;
    this.loop =
        new DecisionLoop(
            task -> {
              Thread thread = Executors.defaultThreadFactory().newThread(task);
              thread.setName("decision-loop");
              thread.setDaemon(true);
              return thread;
            });
    SchedulerSettings defaults = SchedulerSettings.DEFAULT;
    this.decider =
        new Decider(
            clock,
            new HostPorts(),
            new JobConfiguration(zone),
            new SchedulerSettings(
                settings.jobs().starvationBoundMs(), defaults.scanLimit(), defaults.startLimit()),
            settings.jobs().workerMessagesPerSecond(),
            metrics);
    this.leaseKeeper = new LeaseKeeper(clock, workers, loop);
  }

  /** Starts the loop. */
  public void start() {
    loop.start();
    directory.addListener(() -> loop.execute(decider::onHostsChanged));
    timer.scheduleWithFixedDelay(
        () -> loop.execute(this::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** Stops the loop. */
  public void stop() {
    loop.stop();
  }

  @Override
  public void onConfigurationChanged(Collection<StoredResource> objects) {
    loop.execute(() -> decider.onConfigurationChanged(objects));
  }

  @Override
  public void onEpochChanged(ViewLeaseStatus status) {
    loop.execute(() -> onEpoch(status));
  }

  @Override
  public void onHeartbeatReply(String memberId, HeartbeatReply reply) {}

  @Override
  public void onMemberRetired(String memberId) {}

  /** Returns this host's explanation of why a job waits or where it runs. */
  public CompletableFuture<String> explain(String jobName) {
    return loop.call(() -> decider.explain(jobName));
  }

  /** Answers a query for one job, or for the whole state if the query names no job. */
  public CompletableFuture<Envelope.Builder> onQuery(JobQuery query) {
    CompletableFuture<byte[]> document =
        query.getName().isEmpty()
            ? dump().thenApply(Json::bytes)
            : explain(query.getName())
                .thenApply(
                    text -> Json.bytes(Json.mapper().createObjectNode().put("explanation", text)));
    return document.thenApply(
        bytes ->
            Envelope.newBuilder()
                .setJobReply(JobReply.newBuilder().setDocument(ByteString.copyFrom(bytes))));
  }

  /** Returns the state of the decider for the state dump. */
  public CompletableFuture<ObjectNode> dump() {
    return loop.call(
        () -> {
          ObjectNode node = Json.mapper().createObjectNode();
          node.put("stage", decider.stage().toString());
          node.put("epoch", decider.epoch());
          node.put("acceleratorsTotal", decider.scheduler().cluster().totalAccelerators());
          node.put("acceleratorsFree", decider.scheduler().cluster().freeAccelerators());
          node.put("fragmentation", decider.scheduler().cluster().fragmentation());
          node.put("waitingCount", decider.scheduler().waiting().size());
          node.put("attemptCount", decider.gangs().all().size());
          ArrayNode brokenGuarantees = node.putArray("guaranteesNotReclaimable");
          decider.scheduler().brokenGuarantees().forEach(brokenGuarantees::add);
          decider.shadowRuns().forEach((name, run) -> describe(run, shadowNode(node, name)));
          ArrayNode attempts = node.putArray("attempts");
          for (GangAttempt attempt : decider.gangs().all()) {
            if (attempts.size() == MAX_DUMPED_ATTEMPTS) {
              break;
            }
            ObjectNode attemptNode = attempts.addObject();
            attemptNode.put("id", attempt.attemptId());
            attemptNode.put("job", attempt.jobName());
            attemptNode.put("phase", attempt.phase().toString());
            attemptNode.set("hosts", Json.mapper().valueToTree(attempt.placement().tasksByHost()));
          }
          return node;
        });
  }

  private static ObjectNode shadowNode(ObjectNode node, String name) {
    return node.withObject("/shadowPolicies").putObject(name);
  }

  private static void describe(ShadowRun run, ObjectNode node) {
    node.put("algorithm", run.spec().algorithm().toString());
    node.put("waiting", run.waiting());
    describe(run.candidate(), node.putObject("candidate"));
    describe(run.active(), node.putObject("active"));
  }

  private static void describe(PolicyMetrics metrics, ObjectNode node) {
    node.put("finished", metrics.completedJobs());
    node.put("meanCompletionSeconds", metrics.meanCompletionSeconds());
    node.put("fragmentation", metrics.meanFragmentation());
  }

  private void tick() {
    decider.tick();
    // While no decider acts, the leases of running gangs must not expire: a view change takes about
    // 3 s, and much longer while the log is unavailable.
    if (!membership.status().mayAct(clock)) {
      membership
          .isDutyOwnOrUnattended(DUTY)
          .thenAcceptAsync(
              unattended -> {
                if (unattended) {
                  leaseKeeper.tick(workersOfZone());
                }
              },
              loop);
    }
  }

  private void onEpoch(ViewLeaseStatus status) {
    boolean holdsNow = holdsDuty(status.view());
    boolean heldBefore = holdsDuty(lastLeaseStatus.view());
    boolean directSuccessor =
        status.view().isPresent()
            && lastLeaseStatus.view().isPresent()
            && status.view().get().previous().equals(lastLeaseStatus.view().get().members());
    heldDutyContinuously = holdsNow && heldBefore && directSuccessor;
    lastLeaseStatus = status;
    if (!holdsNow) {
      decider.endDuty();
    }
  }

  private boolean holdsDuty(Optional<ZoneView> view) {
    Optional<Member> holder = view.flatMap(current -> ViewLeaseStatus.dutyHolder(DUTY, current));
    return holder.map(membership.self()::equals).orElse(false);
  }

  private List<ListedHost> workersOfZone() {
    List<ListedHost> found = new ArrayList<>();
    for (ListedHost host : directory.workers()) {
      if (host.zone().equals(zone)) {
        found.add(host);
      }
    }
    return found;
  }

  /** Connects the decider to the rest of the host; futures complete on the decision loop. */
  private final class HostPorts implements DeciderPorts {
    @Override
    public Optional<DeciderLease> lease() {
      ViewLeaseStatus status = membership.status();
      boolean mayDecide =
          status.mayAct(clock)
              && status.epoch() == lastLeaseStatus.epoch()
              && holdsDuty(status.view());
      return mayDecide
          ? Optional.of(
              new DeciderLease(
                  status.epoch(),
                  status.actingUntilMs(),
                  heldDutyContinuously,
                  status.view().orElseThrow().first()))
          : Optional.empty();
    }

    @Override
    public CompletableFuture<WorkerReport> exchange(
        String address, WorkerExchange exchange, long timeoutMs) {
      return onLoop(workers.exchange(address, exchange, timeoutMs));
    }

    @Override
    public CompletableFuture<Verdict> publish(Draft draft) {
      return onLoop(configurationService.publish(draft));
    }

    @Override
    public List<ListedHost> workers() {
      return workersOfZone();
    }

    private <T> CompletableFuture<T> onLoop(CompletableFuture<T> future) {
      CompletableFuture<T> result = new CompletableFuture<>();
      future.whenCompleteAsync(
          (value, failure) -> {
            if (failure == null) {
              result.complete(value);
            } else {
              result.completeExceptionally(failure);
            }
          },
          loop);
      return result;
    }
  }
}
