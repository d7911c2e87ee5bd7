package org.wheatwall.entry.membership;

import java.util.Optional;
import org.wheatwall.core.common.RendezvousHash;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.core.membership.model.ZoneView;
import org.wheatwall.entry.common.Clock;

/**
 * Whether this host may act for its zone, as last computed.
 *
 * @param epoch epoch of the view, 0 if there is none
 * @param view view in force
 * @param actingUntilMs monotonic time until which this host may act, in the past if it may not act
 * @param skippedMs {@link Clock#skippedMs} when the status was computed
 */
public record ViewLeaseStatus(
    long epoch, Optional<ZoneView> view, long actingUntilMs, long skippedMs) {
  /** The status before any view is known. */
  public static final ViewLeaseStatus NONE =
      new ViewLeaseStatus(0, Optional.empty(), Long.MIN_VALUE, 0);

  /** Returns whether this host may act now. A status from before a suspension is not valid. */
  public boolean mayAct(Clock clock) {
    return clock.skippedMs() == skippedMs && clock.nowMs() < actingUntilMs;
  }

  /** Returns the member that holds the duty named {@code duty}. */
  public Optional<Member> dutyHolder(String duty) {
    return view.flatMap(current -> dutyHolder(duty, current));
  }

  /** Returns the member of {@code view} that holds the duty named {@code duty}. */
  public static Optional<Member> dutyHolder(String duty, ZoneView view) {
    return RendezvousHash.choose(duty, view.memberIds()).flatMap(view::member);
  }
}
