package org.wheatwall.entry;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.core.request.decision.ConnectionShare;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.EntrySettings;
import org.wheatwall.entry.common.MachineClock;
import org.wheatwall.entry.configuration.ConfigurationService;
import org.wheatwall.entry.job.JobPlane;
import org.wheatwall.entry.membership.MembershipService;
import org.wheatwall.entry.membership.ViewLeaseStatus;
import org.wheatwall.entry.operator.AccessRule;
import org.wheatwall.entry.operator.OperatorApi;
import org.wheatwall.entry.operator.StateDump;
import org.wheatwall.entry.platform.HostDirectory;
import org.wheatwall.entry.platform.HttpPlatform;
import org.wheatwall.entry.request.RequestPlane;
import org.wheatwall.entry.request.SlotService;
import org.wheatwall.entry.request.StepAdmissionService;
import org.wheatwall.entry.request.StepCoordinator;
import org.wheatwall.entry.request.ZoneViews;
import org.wheatwall.wire.http.Addresses;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpClient;
import org.wheatwall.wire.http.HttpHandler;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.HttpServer;
import org.wheatwall.wire.http.InboundMemory;
import org.wheatwall.wire.http.RejectionReason;
import org.wheatwall.wire.http.ServerLimits;
import org.wheatwall.wire.json.Json;
import org.wheatwall.wire.message.PeerIdentity;
import org.wheatwall.wire.peer.PeerClient;
import org.wheatwall.wire.peer.PeerServer;

/**
 * An entry host: connects the request plane, the job plane, configuration and membership.
 *
 * <p>Threads: Netty's event loops for requests and messages; the state thread for configuration,
 * membership and the list of hosts; the decision loop for jobs; a timer. Locks: a service's slots,
 * then the step ledger; no lock is held while calling another component or completing a future.
 */
public final class EntryHost {
  private static final Logger LOG = LoggerFactory.getLogger(EntryHost.class);
  private static final int MAX_PLATFORM_BODY_BYTES = 16 * 1024 * 1024;
  private static final long REQUEST_TICK_MS = 20;
  private static final long LEDGER_TICK_MS = 1000;

  private final EntrySettings settings;
  private final Clock clock = MachineClock.SYSTEM;
  private final MetricRegistry metrics = new MetricRegistry();
  private final ScheduledExecutorService stateThread = newSingleThread("state");
  private final ScheduledExecutorService timer = newSingleThread("timer");
  private final PeerClient peers;
  private final HostDirectory directory;
  private final ConfigurationService configuration;
  private final MembershipService membership;
  private final ZoneViews remoteZones;
  private final SlotService slots;
  private final StepAdmissionService stepAdmission;
  private final JobPlane jobs;
  private final RequestPlane requests;
  private final OperatorApi operators;
  private final AccessRule access;
  private final PeerServer peerServer;
  private final HttpServer httpServer;
  private volatile boolean draining;

  private EntryHost(EntrySettings settings, EventLoopGroup group) {
    this.settings = settings;
    Member self =
        new Member(settings.host(), clock.wallMs(), Addresses.text(settings.listen().advertised()));
    HttpPlatform platform =
        new HttpPlatform(
            new HttpClient(group, MAX_PLATFORM_BODY_BYTES),
            settings.platform().log(),
            settings.platform().list());
    directory = new HostDirectory(platform, stateThread, settings.platform().listPollMs());
    configuration =
        new ConfigurationService(
            platform, clock, stateThread, settings.platform().retentionMs(), metrics);
    peers = new PeerClient(group, identity(self, settings.zone()), settings.peerKey());
    membership =
        new MembershipService(
            self, settings.zone(), clock, stateThread, configuration, directory, peers, metrics);
    remoteZones = new ZoneViews(settings.zone());
    slots = newSlots();
    stepAdmission = newStepAdmission();
    jobs =
        new JobPlane(
            settings, clock, membership, configuration, directory, platform, timer, metrics);
    HttpClient runnerClient = new HttpClient(group, settings.requests().maxBodyBytes());
    directory.addListener(() -> runnerClient.setMaxIdle(idleConnections()));
    requests =
        new RequestPlane(
            settings.requests(),
            clock,
            slots,
            newSteps(),
            directory,
            runnerClient,
            this::delay,
            settings.host() + "-" + Long.toString(self.incarnation(), 36) + "-",
            metrics);
    StateDump dump = new StateDump(metrics, this::dumpState);
    ExplanationRequests explanations = new ExplanationRequests(self, remoteZones, jobs, peers);
    operators =
        new OperatorApi(configuration, directory, explanations::explain, dump, () -> draining);
    access = new AccessRule(settings.tokens());
    registerListeners();
    PeerRequests peerRequests =
        new PeerRequests(membership, stepAdmission, slots, configuration, jobs);
    peerServer =
        PeerServer.start(group, settings.listen().peer(), settings.peerKey(), peerRequests::handle);
    InboundMemory memory = InboundMemory.ofHeap(group, settings.requests().maxBodyBytes());
    httpServer =
        HttpServer.start(
            group, settings.listen().http(), callLimits(settings), memory, new CallRouter());
    registerCallerGauges(memory);
  }

  private static ServerLimits callLimits(EntrySettings settings) {
    return ServerLimits.forMaxBody(settings.requests().maxBodyBytes())
        .withLongestDeadline(settings.requests().maxDeadlineMs());
  }

  private void registerCallerGauges(InboundMemory memory) {
    metrics.registerGauge("callers.held-bytes", memory::heldBytes);
    metrics.registerGauge("callers.connections", httpServer::openConnections);
    for (RejectionReason reason : RejectionReason.values()) {
      metrics.registerGauge(
          "callers.rejected." + reason.label(), () -> httpServer.rejections(reason));
      metrics.registerGauge(
          "peer-connections.rejected." + reason.label(), () -> peerServer.rejections(reason));
    }
  }

  /** Starts an entry host on {@code group}. */
  public static EntryHost start(EntrySettings settings, EventLoopGroup group) {
    EntryHost host = new EntryHost(settings, group);
    host.startServices();
    return host;
  }

  private int idleConnections() {
    long hostsInZone =
        directory.entryHosts().stream().filter(host -> host.zone().equals(settings.zone())).count();
    return ConnectionShare.idleConnections((int) hostsInZone);
  }

  private SlotService newSlots() {
    return new SlotService(
        clock,
        settings.zone(),
        settings.requests().maxDeadlineMs(),
        membership,
        directory,
        peers,
        remoteZones,
        metrics);
  }

  private StepAdmissionService newStepAdmission() {
    return new StepAdmissionService(
        clock,
        settings.requests().keepAnswersMs(),
        settings.requests().maxDeadlineMs(),
        membership,
        peers,
        timer,
        metrics);
  }

  private StepCoordinator newSteps() {
    return new StepCoordinator(
        settings.zones(), stepAdmission, membership, remoteZones, peers, timer);
  }

  private static PeerIdentity identity(Member self, String zone) {
    return PeerIdentity.newBuilder()
        .setName(self.name())
        .setIncarnation(self.incarnation())
        .setAddress(self.address())
        .setZone(zone)
        .build();
  }

  private void registerListeners() {
    configuration.addListener(remoteZones);
    configuration.addListener(requests);
    configuration.addListener(jobs);
    membership.addListener(slots);
    membership.addListener(stepAdmission);
    membership.addListener(jobs);
    membership.setReplyDetails(slots::replyDetails);
    directory.addListener(slots::assignRunners);
  }

  private void startServices() {
    jobs.start();
    membership.start();
    configuration.start();
    directory.start();
    timer.scheduleWithFixedDelay(
        slots::tick, REQUEST_TICK_MS, REQUEST_TICK_MS, TimeUnit.MILLISECONDS);
    timer.scheduleWithFixedDelay(
        stepAdmission::tick, LEDGER_TICK_MS, LEDGER_TICK_MS, TimeUnit.MILLISECONDS);
    LOG.info(
        "event=entry-started host={} zone={} http={} peer={}",
        settings.host(),
        settings.zone(),
        httpServer.port(),
        peerServer.port());
  }

  /** Returns the port for callers and operators. */
  public int httpPort() {
    return httpServer.port();
  }

  /** Returns the metrics. */
  public MetricRegistry metrics() {
    return metrics;
  }

  /** Returns a future that completes once a configuration is in effect on this host. */
  public CompletableFuture<Void> ready() {
    return configuration.ready();
  }

  /**
   * Drains and stops the host: reports not ready, keeps serving for {@code noticeMs} so that the
   * load balancer can react, then completes the requests in flight, hands over its duties and
   * closes.
   */
  public CompletableFuture<Void> drain(long noticeMs) {
    draining = true;
    LOG.info("event=drain-started noticeMs={}", noticeMs);
    CompletableFuture<Void> noticeElapsed = new CompletableFuture<>();
    timer.schedule(() -> noticeElapsed.complete(null), noticeMs, TimeUnit.MILLISECONDS);
    return noticeElapsed
        .thenCompose(done -> httpServer.drain())
        .thenCompose(done -> slots.stopLending())
        .thenCompose(done -> membership.retire())
        .thenRun(this::close);
  }

  /** Stops immediately. */
  public void close() {
    configuration.stop();
    jobs.stop();
    httpServer.close();
    peerServer.close();
    peers.close();
    timer.shutdownNow();
    stateThread.shutdownNow();
    LOG.info("event=entry-stopped host={}", settings.host());
  }

  private CompletableFuture<Void> delay(long delayMs) {
    CompletableFuture<Void> elapsed = new CompletableFuture<>();
    timer.schedule(() -> elapsed.complete(null), delayMs, TimeUnit.MILLISECONDS);
    return elapsed;
  }

  /** Routes calls to the request plane or the operator API. */
  private final class CallRouter implements HttpHandler {
    @Override
    public CompletableFuture<HttpReply> handle(HttpCall call) {
      if (RequestPlane.serves(call.target())) {
        return requests.handle(call);
      }
      return operators.handle(call, access);
    }

    @Override
    public HttpReply refuse(String target, Refusal refusal) {
      return RequestPlane.serves(target)
          ? requests.refuse(refusal)
          : HttpHandler.super.refuse(target, refusal);
    }
  }

  private CompletableFuture<ObjectNode> dumpState() {
    ViewLeaseStatus status = membership.status();
    ObjectNode node = Json.mapper().createObjectNode();
    node.put("host", settings.host());
    node.put("zone", settings.zone());
    node.put("draining", draining);
    ObjectNode view = node.putObject("view");
    view.put("epoch", status.epoch());
    view.put("acting", status.mayAct(clock));
    view.set(
        "members",
        Json.mapper().valueToTree(status.view().map(v -> v.memberIds()).orElse(List.of())));
    ObjectNode configured = node.putObject("configuration");
    configured.put("nextOffset", configuration.nextOffset());
    configured.put("sinceHeadMs", configuration.sinceHeadMs());
    node.set("slots", slots.dump());
    node.putObject("steps").put("records", stepAdmission.recordCount());
    return jobs.dump()
        .thenApply(
            jobState -> {
              node.set("jobs", jobState);
              return node;
            });
  }

  private static ScheduledExecutorService newSingleThread(String name) {
    return Executors.newSingleThreadScheduledExecutor(
        task -> {
          Thread thread = new Thread(task, name);
          thread.setDaemon(true);
          return thread;
        });
  }
}
