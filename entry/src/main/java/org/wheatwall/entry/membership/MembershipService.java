package org.wheatwall.entry.membership;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.configuration.model.StoredResource;
import org.wheatwall.core.membership.decision.ViewLease;
import org.wheatwall.core.membership.decision.ViewProposer;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.core.membership.model.ZoneView;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.configuration.ConfigurationService;
import org.wheatwall.entry.platform.HostDirectory;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.Heartbeat;
import org.wheatwall.wire.message.HeartbeatReply;
import org.wheatwall.wire.message.PeerIdentity;
import org.wheatwall.wire.message.Retire;
import org.wheatwall.wire.peer.PeerClient;
import org.wheatwall.wire.platform.ListedHost;

/**
 * Maintains the view of this host's zone: sends heartbeats to the zone's other entry hosts,
 * proposes new views through the log, and keeps the lease that depends on both. Confined to the
 * state thread; the status is published for readers on any thread.
 */
public final class MembershipService {
  private static final Logger LOG = LoggerFactory.getLogger(MembershipService.class);

  /** How long a confirmation of a view is valid. */
  public static final long CONFIRMATION_MS = 1500;

  /** Time without a message from a member after which it is removed from the view. */
  public static final long SUSPECT_AFTER_MS = 1200;

  private static final long HEARTBEAT_INTERVAL_MS = 250;
  private static final long HEARTBEAT_TIMEOUT_MS = 1000;

  /** Time without confirmation of the log's end after which the log counts as down. */
  static final long LOG_STALE_MS = 3000;

  private final Member self;
  private final String zone;
  private final Clock clock;
  private final ScheduledExecutorService stateThread;
  private final ConfigurationService configuration;
  private final HostDirectory directory;
  private final PeerClient peers;
  private final ViewLease lease;
  private final ViewProposals proposals;
  private final PeerCatchUp catchUp;
  private final List<MembershipListener> listeners = new CopyOnWriteArrayList<>();
  private final Map<String, Member> knownMembers = new LinkedHashMap<>();
  private final Map<String, Long> lastMessageMs = new LinkedHashMap<>();
  private Supplier<HeartbeatReply.Builder> replyDetails = HeartbeatReply::newBuilder;
  private final Set<String> retiredMembers = ConcurrentHashMap.newKeySet();
  private boolean retired;
  private volatile ViewLeaseStatus status = ViewLeaseStatus.NONE;
  private long skippedMs;

  /** Creates the service. {@link #start} starts the heartbeats. */
  public MembershipService(
      Member self,
      String zone,
      Clock clock,
      ScheduledExecutorService stateThread,
      ConfigurationService configuration,
      HostDirectory directory,
      PeerClient peers,
      MetricRegistry metrics) {
    this.self = self;
    this.zone = zone;
    this.clock = clock;
    this.stateThread = stateThread;
    this.configuration = configuration;
    this.directory = directory;
    this.peers = peers;
    this.lease = new ViewLease(self.id(), CONFIRMATION_MS);
    ViewProposer proposer = new ViewProposer(self, SUSPECT_AFTER_MS);
    this.proposals = new ViewProposals(proposer, zone, configuration, directory, stateThread);
    this.catchUp = new PeerCatchUp(configuration, peers, stateThread);
    metrics.gauge("membership.epoch", () -> () -> status.epoch());
    metrics.gauge("membership.acting", () -> () -> status.mayAct(clock) ? 1 : 0);
  }

  /** Adds a listener. Must be called before {@link #start}. */
  public void addListener(MembershipListener listener) {
    listeners.add(listener);
  }

  /** Sets the supplier of the free slots and busy runners in heartbeat replies. */
  public void setReplyDetails(Supplier<HeartbeatReply.Builder> details) {
    replyDetails = details;
  }

  /** Starts heartbeats. */
  public void start() {
    configuration.addListener(this::onConfiguration);
    stateThread.scheduleAtFixedRate(this::tick, 0, HEARTBEAT_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** Returns the status as last computed. */
  public ViewLeaseStatus status() {
    return status;
  }

  /** Returns whether a member of the view has retired. */
  public boolean isRetired(String memberId) {
    return retiredMembers.contains(memberId);
  }

  /** Returns this host as a member. */
  public Member self() {
    return self;
  }

  /** Returns whether this host may act now and holds the duty. */
  public boolean holdsDuty(String duty) {
    ViewLeaseStatus current = status;
    return current.mayAct(clock) && current.dutyHolder(duty).map(self::equals).orElse(false);
  }

  /** Returns whether this host holds a duty, or no responding member does. */
  public CompletableFuture<Boolean> isDutyOwnOrUnattended(String duty) {
    return CompletableFuture.supplyAsync(
        () ->
            lease
                .view()
                .flatMap(view -> ViewLeaseStatus.dutyHolder(duty, view))
                .map(holder -> holder.equals(self) || !isResponding(holder.id()))
                .orElse(true),
        stateThread);
  }

  /** Answers a heartbeat of another entry host of the zone. */
  public CompletableFuture<Envelope.Builder> onHeartbeat(Heartbeat heartbeat) {
    return CompletableFuture.supplyAsync(
        () -> {
          checkForSuspension();
          Member sender = toMember(heartbeat.getSender());
          recordMessage(sender);
          catchUp.onLogPosition(sender, heartbeat.getNextOffset());
          // The sender now has this view and can confirm it at once. Until the next regular
          // heartbeat the zone could not act.
          if (heartbeat.getEpoch() == lease.epoch() && lease.needsConfirmationFrom(sender.id())) {
            sendHeartbeat(sender.address(), heartbeat());
          }
          HeartbeatReply.Builder reply =
              replyDetails
                  .get()
                  .setSender(identity())
                  .setEpoch(retired ? 0 : lease.epoch())
                  .setActing(lease.mayAct(clock.nowMs()))
                  .setNextOffset(configuration.nextOffset());
          return Envelope.newBuilder().setHeartbeatReply(reply);
        },
        stateThread);
  }

  /** Records that another member has retired. */
  public CompletableFuture<Envelope.Builder> onRetire(Retire retire) {
    return CompletableFuture.supplyAsync(
        () -> {
          String id = toMember(retire.getSender()).id();
          lease.onRetired(id);
          retiredMembers.add(id);
          proposals.onRetired(id);
          knownMembers.remove(id);
          lastMessageMs.remove(id);
          listeners.forEach(listener -> listener.onMemberRetired(id));
          publishStatus();
          proposals.propose(lease.view(), lease.epoch(), clock.nowMs());
          return Envelope.newBuilder().setRetire(retire);
        },
        stateThread);
  }

  /** Stops acting permanently and notifies the other members. */
  public CompletableFuture<Void> retire() {
    return CompletableFuture.supplyAsync(
            () -> {
              retired = true;
              status = new ViewLeaseStatus(status.epoch(), status.view(), Long.MIN_VALUE, 0);
              List<CompletableFuture<Envelope>> notifications = new ArrayList<>();
              Envelope.Builder message =
                  Envelope.newBuilder().setRetire(Retire.newBuilder().setSender(identity()));
              for (Member member : knownMembers.values()) {
                notifications.add(
                    peers.send(member.address(), message.clone(), HEARTBEAT_TIMEOUT_MS));
              }
              return CompletableFuture.allOf(notifications.toArray(CompletableFuture[]::new))
                  .exceptionally(failure -> null);
            },
            stateThread)
        .thenCompose(notifications -> notifications);
  }

  /** Returns the identity that this host sends to other hosts. */
  public PeerIdentity identity() {
    return PeerIdentity.newBuilder()
        .setName(self.name())
        .setIncarnation(self.incarnation())
        .setAddress(self.address())
        .setZone(zone)
        .build();
  }

  private void onConfiguration(java.util.Collection<StoredResource> resources) {
    for (StoredResource stored : resources) {
      boolean isOwnView =
          stored.key().kind() == ResourceKind.VIEWS && stored.key().name().equals(zone);
      if (isOwnView && stored.value().orElse(null) instanceof ZoneView view) {
        install(stored.version(), view);
      }
    }
  }

  private void install(long epoch, ZoneView view) {
    if (epoch <= lease.epoch()) {
      return;
    }
    lease.install(epoch, view, clock.nowMs());
    LOG.info("event=view-installed zone={} epoch={} members={}", zone, epoch, view.memberIds());
    publishStatus();
    listeners.forEach(listener -> listener.onEpochChanged(status));
    sendHeartbeats();
  }

  private void tick() {
    if (retired) {
      return;
    }
    checkForSuspension();
    long nowMs = clock.nowMs();
    lease.tick(nowMs);
    if (configuration.sinceHeadMs() < HEARTBEAT_INTERVAL_MS * 4) {
      lease.onVerified();
    }
    publishStatus();
    sendHeartbeats();
    proposals.propose(lease.view(), lease.epoch(), nowMs);
  }

  private void checkForSuspension() {
    long currentSkippedMs = clock.skippedMs();
    if (currentSkippedMs != skippedMs) {
      skippedMs = currentSkippedMs;
      lease.onSuspended();
    }
  }

  private void publishStatus() {
    if (retired) {
      return;
    }
    checkForSuspension();
    long actingUntilMs = lease.actingUntil(clock.nowMs()).orElse(Long.MIN_VALUE);
    status = new ViewLeaseStatus(lease.epoch(), lease.view(), actingUntilMs, skippedMs);
  }

  private void sendHeartbeats() {
    Heartbeat heartbeat = heartbeat();
    heartbeatTargets().forEach(address -> sendHeartbeat(address, heartbeat));
  }

  private Heartbeat heartbeat() {
    return Heartbeat.newBuilder()
        .setSender(identity())
        .setEpoch(lease.epoch())
        .setNextOffset(configuration.nextOffset())
        .build();
  }

  private void sendHeartbeat(String address, Heartbeat heartbeat) {
    long sentMs = clock.nowMs();
    long skippedMsAtSending = clock.skippedMs();
    peers
        .send(address, Envelope.newBuilder().setHeartbeat(heartbeat), HEARTBEAT_TIMEOUT_MS)
        .thenAcceptAsync(
            reply -> onHeartbeatReply(reply.getHeartbeatReply(), sentMs, skippedMsAtSending),
            stateThread);
  }

  private Set<String> heartbeatTargets() {
    Set<String> targets = new HashSet<>();
    for (ListedHost host : directory.entryHosts()) {
      if (host.zone().equals(zone)) {
        targets.add(host.address());
      }
    }
    lease.view().ifPresent(view -> view.members().forEach(m -> targets.add(m.address())));
    targets.remove(self.address());
    return targets;
  }

  private void onHeartbeatReply(HeartbeatReply reply, long sentMs, long skippedMsAtSending) {
    Member sender = toMember(reply.getSender());
    recordMessage(sender);
    checkForSuspension();
    if (skippedMsAtSending == skippedMs) {
      lease.onConfirmation(sender.id(), reply.getEpoch(), reply.getActing(), sentMs);
    }
    publishStatus();
    listeners.forEach(listener -> listener.onHeartbeatReply(sender.id(), reply));
    catchUp.onLogPosition(sender, reply.getNextOffset());
  }

  private void recordMessage(Member sender) {
    if (retiredMembers.contains(sender.id())) {
      return;
    }
    knownMembers.put(sender.id(), sender);
    lastMessageMs.put(sender.id(), clock.nowMs());
    proposals.onMessage(sender, clock.nowMs());
  }

  private boolean isResponding(String memberId) {
    return clock.nowMs() - lastMessageMs.getOrDefault(memberId, Long.MIN_VALUE / 2)
        < SUSPECT_AFTER_MS;
  }

  private static Member toMember(PeerIdentity identity) {
    return new Member(identity.getName(), identity.getIncarnation(), identity.getAddress());
  }
}
