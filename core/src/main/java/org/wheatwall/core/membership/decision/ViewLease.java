package org.wheatwall.core.membership.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.core.membership.model.ZoneView;

/**
 * Tells whether this process may act for its availability zone now, and until when.
 *
 * <p>A member may act only while every other member of its view has confirmed the same epoch within
 * the promise time. A member that learns of a newer view stops confirming the older one at once and
 * lets the promise time pass before it acts in the newer one. So whichever members the newer view
 * keeps, whoever acted in the older view has stopped by then, paused or cut off as it may be. The
 * log decides which view follows which; without the log a view goes on as it is.
 *
 * <p>Not thread-safe; its owner guards it. All times are of this process's monotonic clock.
 */
public final class ViewLease {
  private final String self;
  private final long confirmationMs;
  private final Map<String, Long> confirmedUntil = new HashMap<>();
  private final Set<String> retired = new HashSet<>();
  private ZoneView view;
  private long epoch;
  private long installedAtMs;
  // Members of older views that may still act in one of them, as long as none of those is unknown.
  private final Set<String> olderMembers = new HashSet<>();
  private boolean olderMembersComplete;
  private boolean olderViewsEnded;
  private long firstContinuingConfirmationMs = Long.MAX_VALUE;
  private long lastTickMs;
  private boolean suspended;

  /**
   * Creates a lease without a view.
   *
   * @param self identity of this process
   * @param promiseMs how long a confirmation holds, milliseconds
   */
  public ViewLease(String self, long promiseMs) {
    this.self = self;
    this.confirmationMs = promiseMs;
  }

  /** Takes in the view of epoch {@code newEpoch} if it is newer. */
  public void install(long newEpoch, ZoneView newView, long nowMs) {
    if (newEpoch <= epoch) {
      return;
    }
    updateOlderMembers(newView, nowMs);
    epoch = newEpoch;
    view = newView;
    installedAtMs = nowMs;
    olderViewsEnded = newView.first();
    confirmedUntil.clear();
    retired.removeIf(id -> !isIn(newView.members(), id) && !olderMembers.contains(id));
    firstContinuingConfirmationMs = Long.MAX_VALUE;
  }

  // Views may follow each other faster than members confirm them. Whoever may act in any of them
  // counts until it has confirmed the newest.
  private void updateOlderMembers(ZoneView newView, long nowMs) {
    boolean ended = olderViewsEnded(nowMs);
    olderMembersComplete =
        view != null && (ended || olderMembersComplete) && directlyFollows(newView);
    if (ended) {
      olderMembers.clear();
    }
    newView.previous().forEach(member -> olderMembers.add(member.id()));
  }

  private boolean directlyFollows(ZoneView newView) {
    List<String> before = view.members().stream().map(Member::id).sorted().toList();
    return newView.previous().stream().map(Member::id).sorted().toList().equals(before);
  }

  /**
   * Takes in another member's answer to a heartbeat.
   *
   * @param acting whether that member considers the older views ended
   * @param sentMs when the heartbeat was sent
   */
  public void onConfirmation(String memberId, long itsEpoch, boolean acting, long sentMs) {
    if (view == null || itsEpoch != epoch || view.member(memberId).isEmpty()) {
      return;
    }
    confirmedUntil.merge(memberId, sentMs + confirmationMs, Math::max);
    if (acting) {
      olderViewsEnded = true;
    }
    if (isIn(view.previous(), memberId)) {
      firstContinuingConfirmationMs = Math.min(firstContinuingConfirmationMs, sentMs);
    }
  }

  /** Notes that a member stopped for good and promised never to act again. */
  public void onRetired(String memberId) {
    if (view != null && !memberId.equals(self)) {
      retired.add(memberId);
    }
  }

  /**
   * Tells the lease that this process is running. A gap between ticks means that it was paused; a
   * sole member, which nobody else could have stopped, then acts again only after {@link
   * #onVerified}.
   */
  public void tick(long nowMs) {
    if (lastTickMs != 0 && nowMs - lastTickMs > confirmationMs) {
      suspended = true;
    }
    lastTickMs = nowMs;
  }

  /**
   * Notes that this process did not run for a time that its clock may not have counted: what others
   * confirmed before holds no more.
   */
  public void onSuspended() {
    confirmedUntil.clear();
    suspended = true;
  }

  /** Notes that the platform confirmed the view in force to be this one. */
  public void onVerified() {
    suspended = false;
  }

  /** Returns whether this process may act for the zone now. */
  public boolean mayAct(long nowMs) {
    return actingUntil(nowMs).isPresent();
  }

  /** Returns until when this process may act, empty if it may not act now. */
  public Optional<Long> actingUntil(long nowMs) {
    if (view == null || view.member(self).isEmpty() || suspended || !olderViewsEnded(nowMs)) {
      return Optional.empty();
    }
    // A pause that has not been noticed yet must not extend the lease of a sole member.
    long until = lastTickMs + confirmationMs;
    for (Member member : view.members()) {
      if (!member.id().equals(self) && !retired.contains(member.id())) {
        until = Math.min(until, confirmedUntil.getOrDefault(member.id(), Long.MIN_VALUE));
      }
    }
    return until > nowMs ? Optional.of(until) : Optional.empty();
  }

  /** Returns whether every older view has ended for sure. */
  public boolean olderViewsEnded(long nowMs) {
    if (olderViewsEnded || view == null) {
      return olderViewsEnded;
    }
    olderViewsEnded = olderMembersComplete && allOlderMembersConfirmed();
    if (isIn(view.previous(), self) || !view.continues()) {
      olderViewsEnded |= nowMs >= installedAtMs + confirmationMs;
    }
    if (firstContinuingConfirmationMs != Long.MAX_VALUE) {
      olderViewsEnded |= nowMs >= firstContinuingConfirmationMs + confirmationMs;
    }
    return olderViewsEnded;
  }

  // A member that stopped for good has ended its part of the older views as surely as one that
  // confirms the newest.
  private boolean allOlderMembersConfirmed() {
    return olderMembers.stream()
        .allMatch(id -> id.equals(self) || confirmedUntil.containsKey(id) || retired.contains(id));
  }

  private static boolean isIn(List<Member> members, String id) {
    return members.stream().anyMatch(member -> member.id().equals(id));
  }

  /** Returns whether a member's confirmation is missing that this process needs in order to act. */
  public boolean needsConfirmationFrom(String memberId) {
    return view != null
        && isIn(view.members(), memberId)
        && !retired.contains(memberId)
        && !confirmedUntil.containsKey(memberId);
  }

  /** Returns the epoch of the view, 0 if there is none. */
  public long epoch() {
    return epoch;
  }

  /** Returns the view. */
  public Optional<ZoneView> view() {
    return Optional.ofNullable(view);
  }

  /** Returns the members of this view and the one before that stopped for good. */
  public Set<String> retired() {
    return Set.copyOf(retired);
  }
}
