package org.wheatwall.core.job.decision;

import java.util.Map;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * Counts the starts that passed over the late jobs of a workspace. After {@value #STARTS_PER_TURN}
 * - 1 of them, a late job has the turn until one starts, so that no job waits forever behind those
 * that can still be in time.
 */
final class LateTurns {
  /** One of this many starts is that of a late job, if there is one. */
  static final int STARTS_PER_TURN = 10;

  // Workspaces times priority classes.
  private static final int MAX_QUEUES = 4096;

  private final Map<Key, Integer> startsSinceTurn = new RecentEntries<>(MAX_QUEUES);

  private record Key(String workspace, boolean urgent, int priority) {
    static Key of(QueuedJob queued) {
      return new Key(
          queued.job().workspace(), queued.job().urgent(), queued.job().options().priority());
    }
  }

  /** Records the start of a job. */
  void recordStart(QueuedJob queued, boolean late) {
    if (late) {
      startsSinceTurn.remove(Key.of(queued));
    } else {
      startsSinceTurn.merge(Key.of(queued), 1, Integer::sum);
    }
  }

  /** Returns how many jobs like this one have started since the last late one. */
  int startsSinceTurn(QueuedJob queued) {
    return startsSinceTurn.getOrDefault(Key.of(queued), 0);
  }
}
