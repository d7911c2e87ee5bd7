package org.wheatwall.core.batch.decision;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;

/** Everything that the job log says about one job. Changed only through {@link JobTable}. */
public final class JobRecord {
  private final String id;
  private final Map<GroupKey, GroupState> groups = new HashMap<>();
  private Optional<BatchJob> job = Optional.empty();
  private Optional<LogContent.End> end = Optional.empty();
  private boolean cancelled;

  JobRecord(String id) {
    this.id = id;
  }

  /** Returns the identifier. */
  public String id() {
    return id;
  }

  /** Returns the job; empty if only other records of it are kept. */
  public Optional<BatchJob> job() {
    return job;
  }

  /** Returns how it ended. */
  public Optional<LogContent.End> end() {
    return end;
  }

  /** Returns whether it is to be cancelled. */
  public boolean cancelled() {
    return cancelled;
  }

  /** Returns the groups of tasks that have a state in the log. */
  public Map<GroupKey, GroupState> groups() {
    return Collections.unmodifiableMap(groups);
  }

  /** Returns the state that the submitter is shown. */
  public BatchState state() {
    if (end.isPresent()) {
      return end.get().state();
    }
    if (cancelled) {
      return BatchState.CANCELLED;
    }
    return groups.isEmpty() ? BatchState.QUEUED : BatchState.RUNNING;
  }

  void setJob(BatchJob next) {
    job = Optional.of(next);
  }

  void clearJob() {
    job = Optional.empty();
  }

  void setEnd(Optional<LogContent.End> next) {
    end = next;
  }

  void setCancelled(boolean next) {
    cancelled = next;
  }

  void setGroup(GroupKey group, Optional<GroupState> state) {
    if (state.isPresent()) {
      groups.put(group, state.get());
    } else {
      groups.remove(group);
    }
  }

  boolean isEmpty() {
    return job.isEmpty() && end.isEmpty() && !cancelled && groups.isEmpty();
  }
}
