package org.wheatwall.entry.membership;

import org.wheatwall.wire.message.HeartbeatReply;

/** Receives changes of the view and of other members. Called on the state thread. */
public interface MembershipListener {
  /** Called with the new status at every change of epoch. */
  void onEpochChanged(ViewLeaseStatus status);

  /** Called with another member's reply to a heartbeat. */
  void onHeartbeatReply(String memberId, HeartbeatReply reply);

  /** Called when a member has retired, with no request in flight. */
  void onMemberRetired(String memberId);
}
