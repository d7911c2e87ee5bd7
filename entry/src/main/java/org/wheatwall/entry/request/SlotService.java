package org.wheatwall.entry.request;

import com.codahale.metrics.Meter;
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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.common.RendezvousHash;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.core.membership.model.ZoneView;
import org.wheatwall.core.request.model.Runner;
import org.wheatwall.core.request.model.ServiceSpec;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.membership.MandateStatus;
import org.wheatwall.entry.membership.MembershipListener;
import org.wheatwall.entry.membership.MembershipService;
import org.wheatwall.entry.platform.HostDirectory;
import org.wheatwall.wire.http.Addresses;
import org.wheatwall.wire.json.Json;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.HeartbeatReply;
import org.wheatwall.wire.message.SlotAsk;
import org.wheatwall.wire.message.SlotReply;
import org.wheatwall.wire.message.SlotReturn;
import org.wheatwall.wire.peer.PeerClient;
import org.wheatwall.wire.platform.ListedHost;

/**
 * Shares the slots of runners between entry hosts without a coordinator: each runner of the zone is
 * owned by one member of the zone's view, which counts every slot and lends some to others. A
 * runner that changes owner rests until the earlier owner has nothing in flight there.
 */
public final class SlotService implements MembershipListener {
  private static final int MOST_BORROWING = 8;
  private static final long BORROW_TIMEOUT_MS = 500;
  private static final long LENT_MARGIN_MS = 1000;

  private final Clock clock;
  private final String zone;
  private final long maxDeadlineMs;
  private final MembershipService membership;
  private final HostDirectory directory;
  private final PeerClient peers;
  private final RemoteZones remoteZones;
  private final Map<String, ServiceSlots> services = new ConcurrentHashMap<>();
  private final Map<String, Map<String, Integer>> freeOfMembers = new ConcurrentHashMap<>();
  private final Map<Long, Lent> lent = new ConcurrentHashMap<>();
  private final AtomicLong nextPermit = new AtomicLong(1);
  private final AtomicInteger grantsUnderWay = new AtomicInteger();
  private volatile CompletableFuture<Void> lendingEnded;
  private final Meter borrowedMeter;
  // Confined to the state thread.
  private final Map<String, String> restingFor = new HashMap<>();
  private final Set<String> retired = new HashSet<>();
  private final Map<String, Set<String>> ownedByService = new HashMap<>();
  private long ownedEpoch;

  private record Lent(Slot slot, long untilMs) {}

  /** Creates the service. */
  public SlotService(
      Clock clock,
      String zone,
      long maxDeadlineMs,
      MembershipService membership,
      HostDirectory directory,
      PeerClient peers,
      RemoteZones remoteZones,
      MetricRegistry metrics) {
    this.clock = clock;
    this.zone = zone;
    this.maxDeadlineMs = maxDeadlineMs;
    this.membership = membership;
    this.directory = directory;
    this.peers = peers;
    this.remoteZones = remoteZones;
    this.borrowedMeter = metrics.meter("requests.slots-borrowed");
    metrics.gauge("requests.slots-lent", () -> lent::size);
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
  boolean isKnown(String service) {
    return directory.hasService(service);
  }

  /** Waits for a slot. */
  CompletableFuture<Slot> acquire(
      String service, String workspace, int weight, Set<String> avoid, long deadlineMs) {
    ServiceSlots slots = slots(service);
    boolean mayTake = membership.status().mayAct(clock.nowMs());
    CompletableFuture<Slot> slot = slots.acquire(workspace, weight, avoid, deadlineMs, mayTake);
    if (!slot.isDone()) {
      borrow(service, slots);
    }
    return slot;
  }

  /** Does what is due; called every few milliseconds. */
  public void tick() {
    long nowMs = clock.nowMs();
    boolean mayTake = membership.status().mayAct(nowMs);
    services.forEach(
        (service, slots) -> {
          slots.expire();
          if (slots.queued() > 0) {
            if (mayTake) {
              slots.dispatch();
            }
            borrow(service, slots);
          }
        });
    lent.forEach(
        (permit, entry) -> {
          if (entry.untilMs() <= nowMs && lent.remove(permit) != null) {
            entry.slot().giveBack(false);
          }
        });
    CompletableFuture<Void> ending = lendingEnded;
    if (ending != null && grantsUnderWay.get() == 0 && lent.isEmpty()) {
      ending.complete(null);
    }
  }

  /** Answers another entry host that asks for a slot. */
  public CompletableFuture<Envelope.Builder> onSlotAsk(SlotAsk ask) {
    SlotReply.Builder reply = SlotReply.newBuilder();
    grantsUnderWay.incrementAndGet();
    lend(ask, reply);
    grantsUnderWay.decrementAndGet();
    return CompletableFuture.completedFuture(Envelope.newBuilder().setSlotReply(reply));
  }

  private void lend(SlotAsk ask, SlotReply.Builder reply) {
    boolean allowed =
        lendingEnded == null
            && membership.status().mayAct(clock.nowMs())
            && ask.getService().length() <= Names.MAX_LENGTH;
    Optional<Slot> slot =
        allowed
            ? slots(ask.getService()).takeToLend(new HashSet<>(ask.getAvoidList()))
            : Optional.empty();
    slot.ifPresent(
        taken -> {
          long permit = nextPermit.getAndIncrement();
          long holdMs = Math.min(ask.getHoldMs(), maxDeadlineMs);
          lent.put(permit, new Lent(taken, clock.nowMs() + holdMs + LENT_MARGIN_MS));
          reply
              .setGranted(true)
              .setPermit(permit)
              .setRunner(taken.runner())
              .setAddress(Addresses.text(taken.address()));
        });
  }

  /**
   * Lends nothing more; completes when every slot that was lent is back. The next owner of a runner
   * counts from zero once this host has retired, so nothing of it may then be in use.
   */
  public CompletableFuture<Void> endLending() {
    CompletableFuture<Void> ended = new CompletableFuture<>();
    lendingEnded = ended;
    return ended;
  }

  /** Takes back a slot that another entry host has used. */
  public CompletableFuture<Envelope.Builder> onSlotReturn(SlotReturn returned) {
    Lent entry = lent.remove(returned.getPermit());
    if (entry != null) {
      entry.slot().giveBack(returned.getSuccess());
    }
    return CompletableFuture.completedFuture(Envelope.newBuilder().setSlotReturn(returned));
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
          reply.addAllBusyRunners(slots.busyExcept(ownedByService.getOrDefault(service, Set.of())));
        });
    return reply;
  }

  /** Assigns the zone's runners anew; called on the state thread. */
  public void assignRunners() {
    MandateStatus status = membership.status();
    Map<String, List<Runner>> owned = new HashMap<>();
    Set<String> listed = new HashSet<>();
    for (ListedHost host : directory.runners()) {
      boolean mine =
          host.zone().equals(zone)
              && status.dutyHolder(duty(host.name())).map(membership.self()::equals).orElse(false);
      if (mine) {
        owned.computeIfAbsent(host.service(), service -> new ArrayList<>()).add(host.toRunner());
        listed.add(host.name());
      }
    }
    if (status.epoch() != ownedEpoch) {
      ownedEpoch = status.epoch();
      noteTakenOver(status, listed);
    }
    ownedByService.clear();
    owned.forEach((service, runners) -> ownedByService.put(service, names(runners)));
    owned.keySet().forEach(this::slots);
    services.forEach(
        (service, slots) ->
            slots.setOwned(
                owned.getOrDefault(service, List.of()),
                restingFor.keySet(),
                clock.nowMs() + maxDeadlineMs));
  }

  @Override
  public void epochChanged(MandateStatus status) {
    assignRunners();
  }

  @Override
  public void memberReplied(String memberId, HeartbeatReply reply) {
    freeOfMembers.put(memberId, Map.copyOf(reply.getFreeSlotsMap()));
    if (reply.getEpoch() == ownedEpoch) {
      Set<String> busy = Set.copyOf(reply.getBusyRunnersList());
      endRest(memberId, busy);
    }
  }

  @Override
  public void memberRetired(String memberId) {
    freeOfMembers.remove(memberId);
    retired.add(memberId);
    endRest(memberId, Set.of());
  }

  private void noteTakenOver(MandateStatus status, Set<String> mine) {
    restingFor.keySet().retainAll(mine);
    ZoneView view = status.view().orElseThrow();
    if (view.previous().isEmpty()) {
      return;
    }
    ZoneView before = new ZoneView(view.labels(), view.previous(), List.of(), false);
    for (String runner : mine) {
      Member owner = MandateStatus.dutyHolder(duty(runner), before).orElseThrow();
      boolean other = !owner.equals(membership.self()) && !retired.contains(owner.id());
      if (other) {
        restingFor.put(runner, owner.id());
      }
    }
  }

  private void endRest(String memberId, Set<String> busy) {
    List<String> done = new ArrayList<>();
    restingFor.forEach(
        (runner, owner) -> {
          if (owner.equals(memberId) && !busy.contains(runner)) {
            done.add(runner);
          }
        });
    for (String runner : done) {
      restingFor.remove(runner);
      services.values().forEach(slots -> slots.releaseTakenOver(runner));
    }
  }

  private void borrow(String service, ServiceSlots slots) {
    int wanted = slots.wantsToBorrow(MOST_BORROWING);
    if (wanted <= 0) {
      return;
    }
    List<String> lenders = lenders(service);
    for (int i = 0; i < Math.min(wanted, lenders.size()); i++) {
      ask(service, slots, lenders.get(i));
    }
  }

  // Members of the own zone that said they have free slots; other zones only if there are none.
  private List<String> lenders(String service) {
    List<String> addresses = new ArrayList<>();
    MandateStatus status = membership.status();
    for (Member member : status.view().map(ZoneView::members).orElse(List.of())) {
      Map<String, Integer> free = freeOfMembers.getOrDefault(member.id(), Map.of());
      if (!member.equals(membership.self()) && free.getOrDefault(service, 0) > 0) {
        addresses.add(member.address());
      }
    }
    boolean selfMayAct = status.mayAct(clock.nowMs());
    if (addresses.isEmpty() && !selfMayAct) {
      status.view().ifPresent(view -> view.members().forEach(m -> addresses.add(m.address())));
      addresses.remove(membership.self().address());
    }
    if (addresses.isEmpty()) {
      addresses.addAll(remoteZones.someMembers());
    }
    return addresses;
  }

  private void ask(String service, ServiceSlots slots, String lender) {
    slots.borrowing(1);
    SlotAsk.Builder ask = SlotAsk.newBuilder().setService(service).setHoldMs((int) maxDeadlineMs);
    peers
        .send(lender, Envelope.newBuilder().setSlotAsk(ask), BORROW_TIMEOUT_MS)
        .whenComplete(
            (reply, failure) -> {
              slots.borrowing(-1);
              if (failure == null && reply.getSlotReply().getGranted()) {
                borrowedMeter.mark();
                slots.offerBorrowed(borrowedSlot(lender, service, reply.getSlotReply()));
              } else if (failure == null) {
                forgetFree(lender, service);
              }
            });
  }

  private void forgetFree(String lender, String service) {
    MandateStatus status = membership.status();
    for (Member member : status.view().map(ZoneView::members).orElse(List.of())) {
      if (member.address().equals(lender)) {
        freeOfMembers.computeIfPresent(
            member.id(),
            (id, free) -> {
              Map<String, Integer> rest = new HashMap<>(free);
              rest.remove(service);
              return rest;
            });
      }
    }
  }

  private Slot borrowedSlot(String lender, String service, SlotReply reply) {
    return new Slot(
        reply.getRunner(),
        Addresses.parse(reply.getAddress()),
        success ->
            peers.send(
                lender,
                Envelope.newBuilder()
                    .setSlotReturn(
                        SlotReturn.newBuilder()
                            .setPermit(reply.getPermit())
                            .setService(service)
                            .setSuccess(success)),
                BORROW_TIMEOUT_MS));
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
