package org.wheatwall.core.batch.decision;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.CancelScope;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;

/** The state of one job according to the job log. Modified only through {@link JobTable}. */
public final class JobRecord {
  private final String id;
  private final Map<GroupKey, GroupState> groups = new HashMap<>();
  private Optional<LogContent.Definition> definition = Optional.empty();
  private Optional<LogContent.Cancellation> cancellation = Optional.empty();
  private Optional<LogContent.DoneGroups> doneGroups = Optional.empty();
  private Optional<LogContent.End> end = Optional.empty();
  private long definitionOffset;
  private long cancellationOffset;

  JobRecord(String id) {
    this.id = id;
  }

  /** Returns the identifier of the job. */
  public String id() {
    return id;
  }

  /** Returns the definition of the job; empty if the log has only other records of it. */
  public Optional<BatchJob> job() {
    return definition.map(LogContent.Definition::job);
  }

  /** Returns the record of the definition. */
  public Optional<LogContent.Definition> definition() {
    return definition;
  }

  /** Returns how the job ended; empty if it has not. */
  public Optional<LogContent.End> end() {
    return end;
  }

  /** Returns whether the job was cancelled, before its definition or after it. */
  public boolean cancelled() {
    return cancellation.isPresent()
        && definition.map(known -> isCancelled(known, definitionOffset)).orElse(true);
  }

  /** Returns whose jobs the cancellation applies to; empty if there is none, or to all. */
  public Optional<CancelScope> cancelScope() {
    return cancellation.flatMap(LogContent.Cancellation::scope);
  }

  /**
   * Returns whether the only definition was submitted before a cancellation that precedes it in the
   * log: the job was never accepted, and another submission may still be.
   */
  public boolean isVoid() {
    return definition.filter(known -> isVoid(known, definitionOffset)).isPresent();
  }

  /** Returns whether a definition at an offset would be void. */
  boolean isVoid(LogContent.Definition next, long offset) {
    return cancelScope().isPresent() && cancellationOffset < offset && isCancelled(next, offset);
  }

  private boolean isCancelled(LogContent.Definition next, long offset) {
    Optional<CancelScope> scope = cancelScope();
    if (scope.isEmpty()) {
      return cancellation.isPresent();
    }
    return scope.get().covers(next.job().workspace(), next.job().queue())
        && cancellationOffset >= next.readOffset().orElse(offset);
  }

  /** Returns whether the log has no job and no state of it, only a cancellation if anything. */
  public boolean isWithoutJob() {
    return (definition.isEmpty() || isVoid())
        && end.isEmpty()
        && groups.isEmpty()
        && doneGroups.isEmpty();
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
    if (cancelled()) {
      return BatchState.CANCELLED;
    }
    return groups.isEmpty() && doneGroups.isEmpty() ? BatchState.QUEUED : BatchState.RUNNING;
  }

  /**
   * Returns whether none of its tasks can have begun, and it has neither ended nor been cancelled.
   */
  public boolean pending() {
    return end.isEmpty()
        && !cancelled()
        && doneGroups.isEmpty()
        && groups.values().stream().noneMatch(GroupState::mayHaveBegun);
  }

  void setDefinition(LogContent.Definition next, long offset) {
    definition = Optional.of(next);
    definitionOffset = offset;
  }

  void clearDefinition() {
    definition = Optional.empty();
  }

  void setEnd(Optional<LogContent.End> next) {
    end = next;
  }

  void setDoneGroups(Optional<LogContent.DoneGroups> next) {
    doneGroups = next;
  }

  void setCancellation(Optional<LogContent.Cancellation> next, long offset) {
    cancellation = next;
    cancellationOffset = offset;
  }

  void setGroup(GroupKey group, Optional<GroupState> state) {
    if (state.isPresent()) {
      groups.put(group, state.get());
    } else {
      groups.remove(group);
    }
  }

  boolean isEmpty() {
    return definition.isEmpty()
        && end.isEmpty()
        && cancellation.isEmpty()
        && groups.isEmpty()
        && doneGroups.isEmpty();
  }
}
