package org.wheatwall.entry.request;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.wheatwall.core.common.RendezvousHash;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.core.membership.model.ZoneView;
import org.wheatwall.core.request.model.Runner;
import org.wheatwall.core.request.model.ServiceSpec;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.membership.MembershipListener;
import org.wheatwall.entry.membership.MembershipService;
import org.wheatwall.entry.membership.ViewLeaseStatus;
import org.wheatwall.entry.platform.HostDirectory;
import org.wheatwall.wire.json.Json;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.HeartbeatReply;
import org.wheatwall.wire.message.SlotAsk;
import org.wheatwall.wire.message.SlotReturn;
import org.wheatwall.wire.peer.PeerClient;
import org.wheatwall.wire.platform.ListedHost;

/**
 * Shares the slots of runners between entry hosts without a coordinator. Each runner of the zone is
 * owned by one member of the zone's view, which accounts for all its slots and lends some to other
 * hosts. A runner that changes owner is not used until the earlier owner has no request in flight
 * there.
 */
public final class SlotService implements MembershipListener {
  private final Clock clock;
  private final String zone;
  private final long maxDeadlineMs;
  private final MembershipService membership;
  private final HostDirectory directory;
  private final Map<String, ServiceSlots> services = new ConcurrentHashMap<>();
  private final SlotLender lender;
  private final SlotBorrower borrower;
  // The fields below are confined to the state thread.
  // By runner taken over but not in use yet, the earlier owner's member id.
  private final Map<String, String> earlierOwners = new HashMap<>();
  private final Set<String> retiredMembers = new HashSet<>();
  private final Map<String, Set<String>> ownedByService = new HashMap<>();
  private long ownedEpoch;

  /** Creates the service. */
  public SlotService(
      Clock clock,
      String zone,
      long maxDeadlineMs,
      MembershipService membership,
      HostDirectory directory,
      PeerClient peers,
      ZoneViews zoneViews,
      MetricRegistry metrics) {
    this.clock = clock;
    this.zone = zone;
    this.maxDeadlineMs = maxDeadlineMs;
    this.membership = membership;
    this.directory = directory;
    this.lender =
        new SlotLender(
            clock, maxDeadlineMs, () -> membership.status().mayAct(clock), this::slots, metrics);
    this.borrower = new SlotBorrower((int) maxDeadlineMs, membership, peers, zoneViews, metrics);
    metrics.gauge(
        "requests.queued",
        () -> () -> services.values().stream().mapToInt(ServiceSlots::queued).sum());
    metrics.gauge(
        "requests.slots-taken",
        () -> () -> services.values().stream().mapToInt(ServiceSlots::takenSlots).sum());
  }

  /** Returns the slots of a service. */
  ServiceSlots slots(String service) {
    return services.computeIfAbsent(
        service, name -> new ServiceSlots(name, clock, RendezvousHash.hash(name) ^ clock.wallMs()));
  }

  /** Returns the slots of each service for the state dump. */
  public ObjectNode dump() {
    ObjectNode node = Json.mapper().createObjectNode();
    services.forEach(
        (service, slots) ->
            node.putObject(service)
                .put("ownedRunners", slots.ownedRunners())
                .put("taken", slots.takenSlots())
                .put("free", slots.freeSlots())
                .put("queued", slots.queued()));
    return node;
  }

  /** Sets the configuration of a service. */
  public void configure(String service, Optional<ServiceSpec> spec) {
    slots(service).configure(spec.orElse(ServiceSpec.DEFAULT));
  }

  /** Returns whether a runner of the service is listed in any zone. */
  boolean isServiceListed(String service) {
    return directory.hasService(service);
  }

  /** Acquires a slot of this host, or borrows one from another. */
  CompletableFuture<Slot> acquire(
      String service, String workspace, int weight, Set<String> avoidedRunners, long deadlineMs) {
    ServiceSlots slots = slots(service);
    boolean mayUseOwnSlots = membership.status().mayAct(clock);
    CompletableFuture<Slot> slot =
        slots.acquire(workspace, weight, avoidedRunners, deadlineMs, mayUseOwnSlots);
    if (!slot.isDone()) {
      borrower.borrow(service, slots);
    }
    return slot;
  }

  /** Expires, dispatches and borrows slots. Called every few milliseconds. */
  public void tick() {
    boolean mayUseOwnSlots = membership.status().mayAct(clock);
    services.forEach(
        (service, slots) -> {
          slots.expire();
          if (slots.queued() > 0) {
            if (mayUseOwnSlots) {
              slots.dispatch();
            }
            borrower.borrow(service, slots);
          }
        });
    lender.tick(services.values().stream().mapToInt(ServiceSlots::takenSlots).sum());
  }

  /** Answers another entry host's request for a slot. */
  public CompletableFuture<Envelope.Builder> onSlotRequest(SlotAsk request) {
    return lender.onSlotRequest(request);
  }

  /** Releases a slot that another entry host returns. */
  public CompletableFuture<Envelope.Builder> onSlotReturn(SlotReturn returned) {
    return lender.onReturn(returned);
  }

  /** Stops lending. The future completes when all lent slots are returned. */
  public CompletableFuture<Void> stopLending() {
    return lender.stopLending();
  }

  /** Returns a heartbeat reply with the free slots and busy runners. Called on the state thread. */
  public HeartbeatReply.Builder replyDetails() {
    HeartbeatReply.Builder reply = HeartbeatReply.newBuilder();
    services.forEach(
        (service, slots) -> {
          int free = slots.freeSlots();
          if (free > 0) {
            reply.putFreeSlots(service, free);
          }
          reply.addAllBusyRunners(
              slots.busyRunnersExcept(ownedByService.getOrDefault(service, Set.of())));
        });
    return reply;
  }

  /** Reassigns the zone's runners to their owners. Called on the state thread. */
  public void assignRunners() {
    ViewLeaseStatus status = membership.status();
    Map<String, List<Runner>> owned = new HashMap<>();
    Map<String, List<Member>> otherOwners = new HashMap<>();
    Set<String> ownRunners = new HashSet<>();
    for (ListedHost host : directory.runners()) {
      Optional<Member> owner =
          host.zone().equals(zone) ? status.dutyHolder(duty(host.name())) : Optional.empty();
      boolean isOwn = owner.map(membership.self()::equals).orElse(false);
      if (!isOwn && host.state() == ListedHost.State.LIVE) {
        owner.ifPresent(
            other ->
                otherOwners.computeIfAbsent(host.service(), s -> new ArrayList<>()).add(other));
      }
      if (isOwn) {
        owned.computeIfAbsent(host.service(), service -> new ArrayList<>()).add(host.toRunner());
        ownRunners.add(host.name());
      }
    }
    if (status.epoch() != ownedEpoch) {
      ownedEpoch = status.epoch();
      recordTakenOver(status, ownRunners);
    }
    borrower.setOwners(otherOwners);
    ownedByService.clear();
    owned.forEach((service, runners) -> ownedByService.put(service, names(runners)));
    owned.keySet().forEach(this::slots);
    services.forEach(
        (service, slots) ->
            slots.setOwned(
                owned.getOrDefault(service, List.of()),
                earlierOwners.keySet(),
                clock.nowMs() + maxDeadlineMs));
  }

  @Override
  public void onEpochChanged(ViewLeaseStatus status) {
    assignRunners();
  }

  @Override
  public void onHeartbeatReply(String memberId, HeartbeatReply reply) {
    borrower.setFreeSlots(memberId, reply.getFreeSlotsMap());
    if (reply.getEpoch() == ownedEpoch) {
      Set<String> busy = Set.copyOf(reply.getBusyRunnersList());
      enableTakenOver(memberId, busy);
    }
  }

  @Override
  public void onMemberRetired(String memberId) {
    borrower.removeMember(memberId);
    retiredMembers.add(memberId);
    enableTakenOver(memberId, Set.of());
  }

  private void recordTakenOver(ViewLeaseStatus status, Set<String> ownRunners) {
    earlierOwners.keySet().retainAll(ownRunners);
    ZoneView view = status.view().orElseThrow();
    if (view.previous().isEmpty()) {
      return;
    }
    ZoneView previousView = new ZoneView(view.labels(), view.previous(), List.of(), false);
    for (String runner : ownRunners) {
      Member owner = ViewLeaseStatus.dutyHolder(duty(runner), previousView).orElseThrow();
      boolean mayBeBusy = !owner.equals(membership.self()) && !retiredMembers.contains(owner.id());
      if (mayBeBusy) {
        earlierOwners.put(runner, owner.id());
      }
    }
  }

  private void enableTakenOver(String memberId, Set<String> busy) {
    List<String> idleRunners = new ArrayList<>();
    earlierOwners.forEach(
        (runner, owner) -> {
          if (owner.equals(memberId) && !busy.contains(runner)) {
            idleRunners.add(runner);
          }
        });
    for (String runner : idleRunners) {
      earlierOwners.remove(runner);
      services.values().forEach(slots -> slots.enableTakenOver(runner));
    }
  }

  private static String duty(String runner) {
    return "runner/" + runner;
  }

  private static Set<String> names(List<Runner> runners) {
    Set<String> names = new HashSet<>();
    runners.forEach(runner -> names.add(runner.name()));
    return names;
  }
}
