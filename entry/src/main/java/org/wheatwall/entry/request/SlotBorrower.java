package org.wheatwall.entry.request;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.entry.membership.MembershipService;
import org.wheatwall.wire.http.Addresses;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.SlotAsk;
import org.wheatwall.wire.message.SlotReply;
import org.wheatwall.wire.message.SlotReturn;
import org.wheatwall.wire.peer.PeerClient;

/**
 * Asks the owners of a service's runners for slots while requests wait here: the zone's owners
 * first, another zone if the own one has no runner of the service, and now and then one while the
 * own zone has nothing free.
 */
final class SlotBorrower {
  private static final int MAX_PENDING_REQUESTS = 32;
  private static final int OWNER_WAIT_MS = 300;
  private static final long TIMEOUT_MS = 700;
  private static final int OTHER_ZONE_REQUEST_INTERVAL = 4;

  private final int maxDeadlineMs;
  private final MembershipService membership;
  private final PeerClient peers;
  private final ZoneViews remoteZones;
  private final Map<String, Map<String, Integer>> freeSlotsByMember = new ConcurrentHashMap<>();
  private final AtomicLong nextPermit = new AtomicLong(1);
  private final Meter borrowed;
  // By service, the other members that own runners of it, one entry a runner.
  private volatile Map<String, List<Member>> ownersByService = Map.of();

  SlotBorrower(
      int maxDeadlineMs,
      MembershipService membership,
      PeerClient peers,
      ZoneViews remoteZones,
      MetricRegistry metrics) {
    this.maxDeadlineMs = maxDeadlineMs;
    this.membership = membership;
    this.peers = peers;
    this.remoteZones = remoteZones;
    this.borrowed = metrics.meter("requests.slots-borrowed");
  }

  /** Sets which other members own runners of each service. */
  void setOwners(Map<String, List<Member>> next) {
    ownersByService = Map.copyOf(next);
  }

  /** Notes the free slots that a member told of. */
  void setFreeSlots(String memberId, Map<String, Integer> free) {
    freeSlotsByMember.put(memberId, Map.copyOf(free));
  }

  /** Forgets a member that stopped for good. */
  void removeMember(String memberId) {
    freeSlotsByMember.remove(memberId);
  }

  /** Asks for as many slots as requests wait for. */
  void borrow(String service, ServiceSlots slots) {
    int wanted = slots.slotsToBorrow(MAX_PENDING_REQUESTS);
    for (int i = 0; i < wanted; i++) {
      List<String> candidates = candidateLenders(service, i);
      if (candidates.isEmpty()) {
        return;
      }
      int chosen = ThreadLocalRandom.current().nextInt(candidates.size());
      requestSlot(service, slots, candidates.get(chosen));
    }
  }

  private List<String> candidateLenders(String service, int turn) {
    List<String> all = new ArrayList<>();
    List<String> withFree = new ArrayList<>();
    for (Member owner : ownersByService.getOrDefault(service, List.of())) {
      if (!membership.isRetired(owner.id())) {
        all.add(owner.address());
        boolean free =
            freeSlotsByMember.getOrDefault(owner.id(), Map.of()).getOrDefault(service, 0) > 0;
        if (free) {
          withFree.add(owner.address());
        }
      }
    }
    if (!withFree.isEmpty()) {
      return withFree;
    }
    boolean lookElsewhere =
        all.isEmpty() || turn % OTHER_ZONE_REQUEST_INTERVAL == OTHER_ZONE_REQUEST_INTERVAL - 1;
    List<String> elsewhere = lookElsewhere ? remoteZones.randomMembersOfOtherZones() : List.of();
    return elsewhere.isEmpty() ? all : elsewhere;
  }

  private void requestSlot(String service, ServiceSlots slots, String lender) {
    String permit = membership.self().id() + "/" + nextPermit.getAndIncrement();
    SlotWaiter first = slots.peekLocal().orElse(null);
    if (first == null) {
      return;
    }
    slots.addPendingBorrows(1);
    SlotAsk.Builder ask =
        SlotAsk.newBuilder()
            .setService(service)
            .setHoldMs(maxDeadlineMs)
            .setPermit(permit)
            .setWorkspace(first.workspace())
            .setWeight(first.weight())
            .setWaitMs(OWNER_WAIT_MS);
    boolean ofOwnZone = zoneAddresses().contains(lender);
    peers
        .send(lender, Envelope.newBuilder().setSlotAsk(ask), TIMEOUT_MS)
        .whenComplete(
            (reply, failure) -> {
              slots.addPendingBorrows(-1);
              if (failure != null) {
                // The slot may have been granted and the reply lost.
                returnSlot(lender, service, permit, SlotOutcome.DONE);
              } else if (reply.getSlotReply().getGranted()) {
                borrowed.mark();
                slots.offerBorrowed(
                    toSlot(lender, service, permit, ofOwnZone, reply.getSlotReply()));
              }
            });
  }

  private Set<String> zoneAddresses() {
    Set<String> addresses = ConcurrentHashMap.newKeySet();
    membership
        .status()
        .view()
        .ifPresent(view -> view.members().forEach(member -> addresses.add(member.address())));
    return addresses;
  }

  private Slot toSlot(
      String lender, String service, String permit, boolean ofOwnZone, SlotReply reply) {
    return new Slot(
        reply.getRunner(),
        Addresses.parse(reply.getAddress()),
        ofOwnZone,
        end -> returnSlot(lender, service, permit, end));
  }

  private void returnSlot(String lender, String service, String permit, SlotOutcome end) {
    SlotReturn.Builder returned =
        SlotReturn.newBuilder()
            .setPermit(permit)
            .setService(service)
            .setSuccess(end == SlotOutcome.DONE)
            .setLost(end == SlotOutcome.LOST);
    peers.send(lender, Envelope.newBuilder().setSlotReturn(returned), TIMEOUT_MS);
  }
}
