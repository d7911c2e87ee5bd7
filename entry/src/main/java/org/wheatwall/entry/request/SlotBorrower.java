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
 * Requests slots from the hosts that own a service's runners while requests are queued here. Owners
 * in this zone come first. Other zones are used if this zone has no runner of the service, and for
 * one request in {@link #OTHER_ZONE_REQUEST_INTERVAL} while this zone has no free slot.
 */
final class SlotBorrower {
  private static final int MAX_PENDING_REQUESTS = 32;
  private static final int OWNER_WAIT_MS = 300;
  private static final long TIMEOUT_MS = 700;
  private static final int OTHER_ZONE_REQUEST_INTERVAL = 4;

  private final int maxDeadlineMs;
  private final MembershipService membership;
  private final PeerClient peers;
  private final ZoneViews zoneViews;
  private final Map<String, Map<String, Integer>> freeSlotsByMember = new ConcurrentHashMap<>();
  private final AtomicLong nextPermit = new AtomicLong(1);
  private final Meter borrowed;
  // By service, the other members that own runners of it: one entry per runner.
  private volatile Map<String, List<Member>> ownersByService = Map.of();

  SlotBorrower(
      int maxDeadlineMs,
      MembershipService membership,
      PeerClient peers,
      ZoneViews zoneViews,
      MetricRegistry metrics) {
    this.maxDeadlineMs = maxDeadlineMs;
    this.membership = membership;
    this.peers = peers;
    this.zoneViews = zoneViews;
    this.borrowed = metrics.meter("requests.slots-borrowed");
  }

  /** Sets which other members own runners of each service. */
  void setOwners(Map<String, List<Member>> next) {
    ownersByService = Map.copyOf(next);
  }

  /** Sets the free slots per service that a member reported. */
  void setFreeSlots(String memberId, Map<String, Integer> free) {
    freeSlotsByMember.put(memberId, Map.copyOf(free));
  }

  /** Removes the free slots of a retired member. */
  void removeMember(String memberId) {
    freeSlotsByMember.remove(memberId);
  }

  /** Requests as many slots of a service as requests wait for, up to a limit. */
  void borrow(String service, ServiceSlots slots) {
    int count = slots.slotsToBorrow(MAX_PENDING_REQUESTS);
    for (int i = 0; i < count; i++) {
      List<String> candidates = candidateLenders(service, i);
      if (candidates.isEmpty()) {
        return;
      }
      int chosen = ThreadLocalRandom.current().nextInt(candidates.size());
      requestSlot(service, slots, candidates.get(chosen));
    }
  }

  private List<String> candidateLenders(String service, int requestIndex) {
    List<String> allLenders = new ArrayList<>();
    List<String> lendersWithFree = new ArrayList<>();
    for (Member owner : ownersByService.getOrDefault(service, List.of())) {
      if (!membership.isRetired(owner.id())) {
        allLenders.add(owner.address());
        boolean hasFree =
            freeSlotsByMember.getOrDefault(owner.id(), Map.of()).getOrDefault(service, 0) > 0;
        if (hasFree) {
          lendersWithFree.add(owner.address());
        }
      }
    }
    if (!lendersWithFree.isEmpty()) {
      return lendersWithFree;
    }
    boolean tryOtherZones =
        allLenders.isEmpty()
            || requestIndex % OTHER_ZONE_REQUEST_INTERVAL == OTHER_ZONE_REQUEST_INTERVAL - 1;
    List<String> otherZones = tryOtherZones ? zoneViews.randomMembersOfOtherZones() : List.of();
    return otherZones.isEmpty() ? allLenders : otherZones;
  }

  private void requestSlot(String service, ServiceSlots slots, String lender) {
    String permit = membership.self().id() + "/" + nextPermit.getAndIncrement();
    SlotWaiter next = slots.peekLocal().orElse(null);
    if (next == null) {
      return;
    }
    slots.addPendingBorrows(1);
    SlotAsk.Builder request =
        SlotAsk.newBuilder()
            .setService(service)
            .setHoldMs(maxDeadlineMs)
            .setPermit(permit)
            .setWorkspace(next.workspace())
            .setWeight(next.weight())
            .setWaitMs(OWNER_WAIT_MS);
    boolean inOwnZone = zoneAddresses().contains(lender);
    peers
        .send(lender, Envelope.newBuilder().setSlotAsk(request), TIMEOUT_MS)
        .whenComplete(
            (reply, failure) -> {
              slots.addPendingBorrows(-1);
              if (failure != null) {
                // The slot may have been granted although the reply was lost.
                returnSlot(lender, service, permit, SlotOutcome.DONE);
              } else if (reply.getSlotReply().getGranted()) {
                borrowed.mark();
                slots.offerBorrowed(
                    toSlot(lender, service, permit, inOwnZone, reply.getSlotReply()));
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
      String lender, String service, String permit, boolean inOwnZone, SlotReply reply) {
    return new Slot(
        reply.getRunner(),
        Addresses.parse(reply.getAddress()),
        inOwnZone,
        outcome -> returnSlot(lender, service, permit, outcome));
  }

  private void returnSlot(String lender, String service, String permit, SlotOutcome outcome) {
    SlotReturn.Builder message =
        SlotReturn.newBuilder()
            .setPermit(permit)
            .setService(service)
            .setSuccess(outcome == SlotOutcome.DONE)
            .setLost(outcome == SlotOutcome.LOST);
    peers.send(lender, Envelope.newBuilder().setSlotReturn(message), TIMEOUT_MS);
  }
}
