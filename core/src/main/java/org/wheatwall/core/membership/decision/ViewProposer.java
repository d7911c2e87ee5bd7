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
 * Decides when to propose a new view of the zone: without a member that does not respond, with a
 * host that wants to join, or with this host alone when no member of the view responds. A proposal
 * need not take effect: the log accepts only one successor of each view.
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
   * @param suspectAfterMs time without a message after which a member is removed from the next
   *     view, milliseconds
   */
  public ViewProposer(Member self, long suspectAfterMs) {
    this.self = self;
    this.suspectAfterMs = suspectAfterMs;
  }

  /** Records a message from another entry host of the zone. */
  public void onMessage(Member member, long nowMs) {
    if (retired.contains(member.id())) {
      return;
    }
    lastMessageMs.put(member.id(), nowMs);
    candidates.put(member.id(), member);
  }

  /** Records that a member has retired; it may still send messages while it shuts down. */
  public void onRetired(String memberId) {
    retired.add(memberId);
    lastMessageMs.remove(memberId);
    candidates.remove(memberId);
  }

  /**
   * Returns the view to propose now, empty if there is none.
   *
   * @param current view in force, empty if the zone has never had one
   * @param listedNames names of the zone's entry hosts that the platform lists as live
   */
  public Optional<ZoneView> propose(
      Optional<ZoneView> current, Set<String> listedNames, long nowMs) {
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
    return takeOver(view, listedNames, nowMs);
  }

  private void trackMembers(ZoneView view, long nowMs) {
    List<String> members = view.memberIds();
    inViewSinceMs.keySet().retainAll(members);
    members.forEach(id -> inViewSinceMs.putIfAbsent(id, nowMs));
  }

  private Optional<ZoneView> nextView(ZoneView view, long nowMs) {
    List<Member> next = new ArrayList<>();
    for (Member member : view.members()) {
      if (isSelfOrResponding(member, nowMs)) {
        next.add(member);
      }
    }
    for (Member candidate : candidates.values()) {
      boolean isNew = view.member(candidate.id()).isEmpty();
      if (isNew && isSelfOrResponding(candidate, nowMs)) {
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
  // process, it may be acting on the other side of a network partition, so the view must not
  // change.
  private Optional<ZoneView> takeOver(ZoneView view, Set<String> listedNames, long nowMs) {
    boolean anyResponding =
        view.members().stream().anyMatch(member -> isResponding(member.id(), nowMs));
    if (anyResponding || nowMs - startedMs < suspectAfterMs) {
      return Optional.empty();
    }
    for (Member member : view.members()) {
      boolean isPredecessorOfSelf = member.name().equals(self.name());
      if (!isPredecessorOfSelf
          && listedNames.contains(member.name())
          && !hasSuccessor(member, nowMs)) {
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

  private boolean isSelfOrResponding(Member member, long nowMs) {
    return member.id().equals(self.id()) || isResponding(member.id(), nowMs);
  }

  private boolean isResponding(String memberId, long nowMs) {
    if (retired.contains(memberId)) {
      return false;
    }
    // Another host may have added a member that has not sent a message to this one yet; it has as
    // much time for its first message as other members between two messages.
    long sinceMs = inViewSinceMs.getOrDefault(memberId, startedMs);
    return nowMs - lastMessageMs.getOrDefault(memberId, sinceMs) < suspectAfterMs;
  }

  // Members propose one after the other, later ones only if the view has not changed, which avoids
  // concurrent proposals in the log.
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
