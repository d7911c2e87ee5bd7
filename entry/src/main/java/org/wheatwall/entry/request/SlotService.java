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
 * Shares the slots of runners between entry hosts without a coordinator: each runner of the zone is
 * owned by one member of the zone's view, which counts every slot and lends some to others. A
 * runner that changes owner rests until the earlier owner has nothing in flight there.
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
  // Confined to the state thread.
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
      ZoneViews remoteZones,
      MetricRegistry metrics) {
    this.clock = clock;
    this.zone = zone;
    this.maxDeadlineMs = maxDeadlineMs;
    this.membership = membership;
    this.directory = directory;
    this.lender =
        new SlotLender(
            clock, maxDeadlineMs, () -> membership.status().mayAct(clock), this::slots, metrics);
    this.borrower = new SlotBorrower((int) maxDeadlineMs, membership, peers, remoteZones, metrics);
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

  /** Sets the operator's settings of a service. */
  public void configure(String service, Optional<ServiceSpec> spec) {
    slots(service).configure(spec.orElse(ServiceSpec.DEFAULT));
  }

  /** Returns whether some runner of the service is listed in any zone. */
  boolean isServiceListed(String service) {
    return directory.hasService(service);
  }

  /** Waits for a slot. */
  CompletableFuture<Slot> acquire(
      String service, String workspace, int weight, Set<String> avoid, long deadlineMs) {
    ServiceSlots slots = slots(service);
    boolean mayTake = membership.status().mayAct(clock);
    CompletableFuture<Slot> slot = slots.acquire(workspace, weight, avoid, deadlineMs, mayTake);
    if (!slot.isDone()) {
      borrower.borrow(service, slots);
    }
    return slot;
  }

  /** Does what is due; called every few milliseconds. */
  public void tick() {
    boolean mayTake = membership.status().mayAct(clock);
    services.forEach(
        (service, slots) -> {
          slots.expire();
          if (slots.queued() > 0) {
            if (mayTake) {
              slots.dispatch();
            }
            borrower.borrow(service, slots);
          }
        });
    lender.tick(services.values().stream().mapToInt(ServiceSlots::takenSlots).sum());
  }

  /** Answers another entry host that asks for a slot. */
  public CompletableFuture<Envelope.Builder> onSlotRequest(SlotAsk ask) {
    return lender.onSlotRequest(ask);
  }

  /** Takes back a slot that another entry host has used. */
  public CompletableFuture<Envelope.Builder> onSlotReturn(SlotReturn returned) {
    return lender.onReturn(returned);
  }

  /** Lends nothing more; completes when every slot that was lent is back. */
  public CompletableFuture<Void> stopLending() {
    return lender.stopLending();
  }

  /** Fills in what other members need to know; called on the state thread. */
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

  /** Assigns the zone's runners anew; called on the state thread. */
  public void assignRunners() {
    ViewLeaseStatus status = membership.status();
    Map<String, List<Runner>> owned = new HashMap<>();
    Map<String, List<Member>> otherOwners = new HashMap<>();
    Set<String> listed = new HashSet<>();
    for (ListedHost host : directory.runners()) {
      Optional<Member> owner =
          host.zone().equals(zone) ? status.dutyHolder(duty(host.name())) : Optional.empty();
      boolean mine = owner.map(membership.self()::equals).orElse(false);
      if (!mine && host.state() == ListedHost.State.LIVE) {
        owner.ifPresent(
            other ->
                otherOwners.computeIfAbsent(host.service(), s -> new ArrayList<>()).add(other));
      }
      if (mine) {
        owned.computeIfAbsent(host.service(), service -> new ArrayList<>()).add(host.toRunner());
        listed.add(host.name());
      }
    }
    if (status.epoch() != ownedEpoch) {
      ownedEpoch = status.epoch();
      recordTakenOver(status, listed);
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

  private void recordTakenOver(ViewLeaseStatus status, Set<String> mine) {
    earlierOwners.keySet().retainAll(mine);
    ZoneView view = status.view().orElseThrow();
    if (view.previous().isEmpty()) {
      return;
    }
    ZoneView before = new ZoneView(view.labels(), view.previous(), List.of(), false);
    for (String runner : mine) {
      Member owner = ViewLeaseStatus.dutyHolder(duty(runner), before).orElseThrow();
      boolean other = !owner.equals(membership.self()) && !retiredMembers.contains(owner.id());
      if (other) {
        earlierOwners.put(runner, owner.id());
      }
    }
  }

  private void enableTakenOver(String memberId, Set<String> busy) {
    List<String> done = new ArrayList<>();
    earlierOwners.forEach(
        (runner, owner) -> {
          if (owner.equals(memberId) && !busy.contains(runner)) {
            done.add(runner);
          }
        });
    for (String runner : done) {
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
