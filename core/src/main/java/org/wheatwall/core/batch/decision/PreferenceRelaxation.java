package org.wheatwall.core.batch.decision;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.wheatwall.core.batch.model.GroupKey;

/**
 * Relaxes placement preferences of groups that have waited too long, so that any worker will do.
 * While most of the capacity is in use, a preferred worker becomes free soon. With idle workers
 * available, a group might otherwise wait forever for a worker that is out of use or held by a
 * long-running job.
 */
final class PreferenceRelaxation {
  /** How long a group waits for preferred workers while others are idle, milliseconds. */
  static final int PREFERENCE_WAIT_MS = 2000;

  private final TermState term;
  // Groups with preferences, in the order in which they began to wait.
  private final Map<GroupKey, Long> waitingSinceMs = new LinkedHashMap<>();
  private final Set<GroupKey> relaxed = new HashSet<>();

  PreferenceRelaxation(TermState term) {
    this.term = term;
  }

  /** Records that a group with preferences begins to wait. */
  void onWaitStarted(GroupKey group) {
    relaxed.remove(group);
    waitingSinceMs.remove(group);
    waitingSinceMs.put(group, term.nowMs);
  }

  /** Returns whether the preferences of a group are relaxed. */
  boolean isRelaxed(GroupKey group) {
    return relaxed.contains(group);
  }

  /** Removes a group that no longer waits. */
  void remove(GroupKey group) {
    relaxed.remove(group);
    waitingSinceMs.remove(group);
  }

  /** Relaxes the preferences of groups that have waited long enough beside idle workers. */
  void relaxWaitingGroups() {
    if (!term.scheduler.isLessThanHalfInUse()) {
      return;
    }
    Iterator<Map.Entry<GroupKey, Long>> groups = waitingSinceMs.entrySet().iterator();
    while (groups.hasNext()) {
      Map.Entry<GroupKey, Long> entry = groups.next();
      if (term.nowMs - entry.getValue() < PREFERENCE_WAIT_MS) {
        return;
      }
      groups.remove();
      relax(entry.getKey());
    }
  }

  private void relax(GroupKey group) {
    JobProgress progress = term.jobs.get(group.jobId());
    if (progress != null && term.scheduler.isWaiting(group.text())) {
      relaxed.add(group);
      term.scheduler.updateWaiting(group.text(), term.toSchedulerJob(progress, group));
    }
  }
}
