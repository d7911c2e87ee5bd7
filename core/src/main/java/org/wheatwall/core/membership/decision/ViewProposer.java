package org.wheatwall.core.membership.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.RendezvousHash;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.core.membership.model.ZoneView;

/**
 * Decides when to propose another view of the zone: without a member that does not answer, with a
 * host that asks to join, or from nothing when no member is left. A proposal is only a proposal:
 * the log accepts one successor of each view.
 */
public final class ViewProposer {
  private static final long STAGGER_MS = 300;

  private final Member self;
  private final long suspectAfterMs;
  private final Map<String, Long> lastMessageMs = new HashMap<>();
  private final Map<String, Long> inViewSinceMs = new HashMap<>();
  private final Map<String, Member> candidates = new HashMap<>();
  private final Set<String> retired = new HashSet<>();
  private long startedMs = -1;
  private List<Member> pending = List.of();
  private long pendingSinceMs;

  /**
   * Creates a proposer.
   *
   * @param suspectMs silence after which a member is left out of the next view, milliseconds
   */
  public ViewProposer(Member self, long suspectMs) {
    this.self = self;
    this.suspectAfterMs = suspectMs;
  }

  /** Notes a message from another entry host of the zone. */
  public void onMessage(Member member, long nowMs) {
    if (retired.contains(member.id())) {
      return;
    }
    lastMessageMs.put(member.id(), nowMs);
    candidates.put(member.id(), member);
  }

  /** Notes that a member stopped for good; it may still answer while it closes. */
  public void onRetired(String memberId) {
    retired.add(memberId);
    lastMessageMs.remove(memberId);
    candidates.remove(memberId);
  }

  /**
   * Returns the view to propose now.
   *
   * @param current view in force, empty if the zone never had one
   * @param listedLive names of the zone's entry hosts that the platform lists as live
   */
  public Optional<ZoneView> propose(
      Optional<ZoneView> current, Set<String> listedLive, long nowMs) {
    if (startedMs < 0) {
      startedMs = nowMs;
    }
    current.ifPresent(view -> trackMembers(view, nowMs));
    if (current.isEmpty()) {
      return Optional.of(new ZoneView(Labels.NONE, List.of(self), List.of(), true));
    }
    ZoneView view = current.get();
    if (view.member(self.id()).isPresent()) {
      return nextView(view, nowMs);
    }
    return takeOver(view, listedLive, nowMs);
  }

  private void trackMembers(ZoneView view, long nowMs) {
    List<String> members = view.memberIds();
    inViewSinceMs.keySet().retainAll(members);
    members.forEach(id -> inViewSinceMs.putIfAbsent(id, nowMs));
  }

  private Optional<ZoneView> nextView(ZoneView view, long nowMs) {
    List<Member> next = new ArrayList<>();
    for (Member member : view.members()) {
      if (isPresent(member, nowMs)) {
        next.add(member);
      }
    }
    for (Member candidate : candidates.values()) {
      boolean isNew = view.member(candidate.id()).isEmpty();
      if (isNew && isPresent(candidate, nowMs)) {
        next.removeIf(member -> member.name().equals(candidate.name()));
        next.add(candidate);
      }
    }
    next.sort(java.util.Comparator.comparing(Member::id));
    if (next.equals(view.members()) || !isOwnTurn(next, nowMs)) {
      return Optional.empty();
    }
    return Optional.of(new ZoneView(Labels.NONE, next, view.members(), false));
  }

  // No member of the view can be reached. If the platform still lists one of them as the same live
  // process, it may be acting on the far side of a cut, so the view must stay as it is.
  private Optional<ZoneView> takeOver(ZoneView view, Set<String> listedLive, long nowMs) {
    boolean someoneHeard =
        view.members().stream().anyMatch(member -> isResponding(member.id(), nowMs));
    if (someoneHeard || nowMs - startedMs < suspectAfterMs) {
      return Optional.empty();
    }
    for (Member member : view.members()) {
      boolean replaced = member.name().equals(self.name());
      if (!replaced && listedLive.contains(member.name()) && !hasSuccessor(member, nowMs)) {
        return Optional.empty();
      }
    }
    return Optional.of(new ZoneView(Labels.NONE, List.of(self), view.members(), false));
  }

  private boolean hasSuccessor(Member member, long nowMs) {
    return candidates.values().stream()
        .anyMatch(
            other ->
                other.name().equals(member.name())
                    && other.incarnation() > member.incarnation()
                    && isResponding(other.id(), nowMs));
  }

  private boolean isPresent(Member member, long nowMs) {
    return member.id().equals(self.id()) || isResponding(member.id(), nowMs);
  }

  private boolean isResponding(String memberId, long nowMs) {
    if (retired.contains(memberId)) {
      return false;
    }
    // Another host may have let a member join that this one has not heard yet; it gets as long to
    // be heard as a member that falls silent.
    long sinceMs = inViewSinceMs.getOrDefault(memberId, startedMs);
    return nowMs - lastMessageMs.getOrDefault(memberId, sinceMs) < suspectAfterMs;
  }

  // One member proposes first, the others only if nothing happens; that spares the log races.
  private boolean isOwnTurn(List<Member> next, long nowMs) {
    if (!next.equals(pending)) {
      pending = next;
      pendingSinceMs = nowMs;
    }
    List<String> ids = next.stream().map(Member::id).toList();
    int rank = RendezvousHash.rank("view-proposer", ids).indexOf(self.id());
    return nowMs - pendingSinceMs >= rank * STAGGER_MS;
  }
}
