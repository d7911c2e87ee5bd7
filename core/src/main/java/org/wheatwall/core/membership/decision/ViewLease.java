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
 * Decides whether this process may act for its availability zone now, and until when.
 *
 * <p>A member may act only while every other member of its view has confirmed the same epoch within
 * the confirmation time. A member that learns of a newer view stops confirming the older one at
 * once and lets the confirmation time pass before it acts in the newer one. By then every member
 * that acted in the older view has stopped, even if it is paused or partitioned, whichever members
 * the newer view keeps. The log determines the successor of each view; while the log is
 * unavailable, the current view remains in force.
 *
 * <p>Not thread-safe; the owner must synchronize access. All times are milliseconds of this
 * process's monotonic clock.
 */
public final class ViewLease {
  private final String self;
  private final long confirmationMs;
  private final Map<String, Long> confirmedUntil = new HashMap<>();
  private final Set<String> retired = new HashSet<>();
  private ZoneView view;
  private long epoch;
  private long installedAtMs;
  // Members of older views that may still act in one of them; usable only if olderMembersComplete.
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
   * @param confirmationMs how long a confirmation is valid, milliseconds
   */
  public ViewLease(String self, long confirmationMs) {
    this.self = self;
    this.confirmationMs = confirmationMs;
  }

  /** Installs the view of epoch {@code newEpoch} if it is newer than the current one. */
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

  // Views may succeed each other faster than members confirm them. A member that may act in any of
  // them is kept until it has confirmed the newest one or all older views have ended.
  private void updateOlderMembers(ZoneView newView, long nowMs) {
    boolean previousEnded = olderViewsEnded(nowMs);
    olderMembersComplete =
        view != null && (previousEnded || olderMembersComplete) && directlyFollows(newView);
    if (previousEnded) {
      olderMembers.clear();
    }
    newView.previous().forEach(member -> olderMembers.add(member.id()));
  }

  private boolean directlyFollows(ZoneView newView) {
    List<String> before = view.members().stream().map(Member::id).sorted().toList();
    return newView.previous().stream().map(Member::id).sorted().toList().equals(before);
  }

  /**
   * Processes another member's response to a heartbeat.
   *
   * @param acting whether that member knows that the older views have ended
   * @param sentMs when the heartbeat was sent
   */
  public void onConfirmation(String memberId, long memberEpoch, boolean acting, long sentMs) {
    if (view == null || memberEpoch != epoch || view.member(memberId).isEmpty()) {
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

  /** Records that a member has retired: it has stopped and will never act again. */
  public void onRetired(String memberId) {
    if (view != null && !memberId.equals(self)) {
      retired.add(memberId);
    }
  }

  /**
   * Records that this process is running. A gap between ticks means that it was paused; it then
   * acts again only after {@link #onVerified}, because no other member could have stopped a sole
   * member.
   */
  public void tick(long nowMs) {
    if (lastTickMs != 0 && nowMs - lastTickMs > confirmationMs) {
      suspended = true;
    }
    lastTickMs = nowMs;
  }

  /**
   * Records that this process was suspended for a time that its clock may not have counted, which
   * invalidates all earlier confirmations.
   */
  public void onSuspended() {
    confirmedUntil.clear();
    suspended = true;
  }

  /** Records that the platform confirmed that this view is in force. */
  public void onVerified() {
    suspended = false;
  }

  /** Returns whether this process may act for the zone now. */
  public boolean mayAct(long nowMs) {
    return actingUntil(nowMs).isPresent();
  }

  /** Returns the time until which this process may act, empty if it may not act now. */
  public Optional<Long> actingUntil(long nowMs) {
    if (view == null || view.member(self).isEmpty() || suspended || !olderViewsEnded(nowMs)) {
      return Optional.empty();
    }
    // A pause that has not been detected yet must not extend the lease of a sole member.
    long until = lastTickMs + confirmationMs;
    for (Member member : view.members()) {
      if (!member.id().equals(self) && !retired.contains(member.id())) {
        until = Math.min(until, confirmedUntil.getOrDefault(member.id(), Long.MIN_VALUE));
      }
    }
    return until > nowMs ? Optional.of(until) : Optional.empty();
  }

  /** Returns whether all older views have certainly ended. */
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

  // A retired member no longer acts in the older views, just like one that has confirmed the newest
  // view.
  private boolean allOlderMembersConfirmed() {
    return olderMembers.stream()
        .allMatch(id -> id.equals(self) || confirmedUntil.containsKey(id) || retired.contains(id));
  }

  private static boolean isIn(List<Member> members, String id) {
    return members.stream().anyMatch(member -> member.id().equals(id));
  }

  /**
   * Returns whether this process lacks a confirmation of this member that it needs in order to act.
   */
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

  /** Returns the current view, empty if there is none. */
  public Optional<ZoneView> view() {
    return Optional.ofNullable(view);
  }

  /**
   * Returns the identities of the retired members of this view and of older ones that may still
   * act.
   */
  public Set<String> retired() {
    return Set.copyOf(retired);
  }
}
