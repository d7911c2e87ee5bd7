package org.wheatwall.entry.membership;

import org.wheatwall.wire.message.HeartbeatReply;

/** Learns of views and of other members' state. Called on the state thread. */
public interface MembershipListener {
  /** Takes in a new status; called at every change of epoch. */
  void onEpochChanged(ViewLeaseStatus status);

  /** Takes in another member's reply to a heartbeat. */
  void onHeartbeatReply(String memberId, HeartbeatReply reply);

  /** Notes that a member stopped for good with nothing in flight. */
  void onMemberRetired(String memberId);
}
