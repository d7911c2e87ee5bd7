package org.wheatwall.core.batch.decision;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.wheatwall.core.batch.model.GroupKey;

/**
 * Which waiting groups take any place instead of the one that they prefer. While most of the
 * capacity is in use a place comes free soon; beside idle workers a group would wait for one that
 * may be out of use, or held by work that lasts, without an end.
 */
final class PreferredPlaces {
  /** How long a group waits for its place beside idle workers, milliseconds. */
  static final int PATIENCE_MS = 2000;

  private final TermState term;
  // Groups that prefer a place, in the order in which they began to wait.
  private final Map<GroupKey, Long> waitingSinceMs = new LinkedHashMap<>();
  private final Set<GroupKey> givenUp = new HashSet<>();

  PreferredPlaces(TermState term) {
    this.term = term;
  }

  /** Notes that a group that prefers a place waits from now on. */
  void began(GroupKey group) {
    givenUp.remove(group);
    waitingSinceMs.remove(group);
    waitingSinceMs.put(group, term.nowMs);
  }

  /** Returns whether a group takes any place. */
  boolean givenUp(GroupKey group) {
    return givenUp.contains(group);
  }

  /** Forgets a group that is not going to wait any more. */
  void forget(GroupKey group) {
    givenUp.remove(group);
    waitingSinceMs.remove(group);
  }

  /** Has the groups described anew that have waited for long enough. */
  void giveUpWhereIdle() {
    if (!term.scheduler.isLessThanHalfInUse()) {
      return;
    }
    Iterator<Map.Entry<GroupKey, Long>> groups = waitingSinceMs.entrySet().iterator();
    while (groups.hasNext()) {
      Map.Entry<GroupKey, Long> entry = groups.next();
      if (term.nowMs - entry.getValue() < PATIENCE_MS) {
        return;
      }
      groups.remove();
      giveUp(entry.getKey());
    }
  }

  private void giveUp(GroupKey group) {
    JobRuns progress = term.jobs.get(group.jobId());
    if (progress != null && term.scheduler.isWaiting(group.text())) {
      givenUp.add(group);
      term.scheduler.updateWaiting(group.text(), term.describe(progress, group));
    }
  }
}
