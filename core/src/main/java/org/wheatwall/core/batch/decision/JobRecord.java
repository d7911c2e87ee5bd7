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

/** The state of one job according to the job log. Modified only through {@link JobTable}. */
public final class JobRecord {
  private final String id;
  private final Map<GroupKey, GroupState> groups = new HashMap<>();
  private Optional<BatchJob> job = Optional.empty();
  private Optional<LogContent.DoneGroups> doneGroups = Optional.empty();
  private Optional<LogContent.End> end = Optional.empty();
  private boolean cancelled;

  JobRecord(String id) {
    this.id = id;
  }

  /** Returns the identifier of the job. */
  public String id() {
    return id;
  }

  /** Returns the definition of the job; empty if the log has only other records of it. */
  public Optional<BatchJob> job() {
    return job;
  }

  /** Returns how the job ended; empty if it has not. */
  public Optional<LogContent.End> end() {
    return end;
  }

  /** Returns whether cancellation of the job was requested. */
  public boolean cancelled() {
    return cancelled;
  }

  /** Returns the groups of tasks that have a state in the log. */
  public Map<GroupKey, GroupState> groups() {
    return Collections.unmodifiableMap(groups);
  }

  /** Returns the done groups that have no state in the log any more. */
  public Optional<LogContent.DoneGroups> doneGroups() {
    return doneGroups;
  }

  /** Returns the state shown to the submitter. */
  public BatchState state() {
    if (end.isPresent()) {
      return end.get().state();
    }
    if (cancelled) {
      return BatchState.CANCELLED;
    }
    return groups.isEmpty() && doneGroups.isEmpty() ? BatchState.QUEUED : BatchState.RUNNING;
  }

  /**
   * Returns whether none of its tasks can have begun, and it has neither ended nor been cancelled.
   */
  public boolean pending() {
    return end.isEmpty()
        && !cancelled
        && doneGroups.isEmpty()
        && groups.values().stream().noneMatch(GroupState::mayHaveBegun);
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

  void setDoneGroups(Optional<LogContent.DoneGroups> next) {
    doneGroups = next;
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
    return job.isEmpty() && end.isEmpty() && !cancelled && groups.isEmpty() && doneGroups.isEmpty();
  }
}
