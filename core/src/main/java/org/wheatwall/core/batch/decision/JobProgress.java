package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;

/**
 * Tracks the progress of one job: which of its groups may start, and which are done.
 *
 * <p>What it holds follows the groups that wait or run, not the size of the job: groups are
 * released to the scheduler a limited number at a time, due times are opened as far as there is
 * room for them, and done groups become bits.
 */
final class JobProgress {
  /** Done groups that are folded into the job's record together. */
  static final int FOLDED_TOGETHER = 256;

  private static final int MIN_GROUPS_OF_LARGE_JOBS = 1000;
  private static final int MAX_FOLDED_BYTES = 32 * 1024;
  private static final int MAX_STEPS_OF_OPEN_OCCURRENCES = 100_000;
  private static final int MIN_OPEN_OCCURRENCES = 2;

  private final BatchJob job;
  private final long submittedAtMs;
  private final Map<GroupKey, GroupState> states = new HashMap<>();
  private final Map<GroupKey, Set<String>> avoidedWorkers = new HashMap<>();
  private final Set<GroupKey> waiting = new LinkedHashSet<>();
  private final TreeMap<Integer, OccurrenceProgress> occurrences = new TreeMap<>();
  private final TreeSet<OpenStep> partlyReleased = new TreeSet<>(OpenStep.ORDER);
  private final List<GroupKey> doneWithRecord = new ArrayList<>();
  private final FoldedGroups folded;
  private final boolean large;
  private int nextOccurrence;
  private boolean heldBack;
  private boolean closed;

  /** Done groups whose records are replaced by one. */
  record Fold(LogContent.DoneGroups content, List<GroupKey> groups) {}

  /**
   * Creates the progress of a job.
   *
   * @param submittedAtMs time of acceptance, milliseconds of the decision loop's monotonic clock
   */
  JobProgress(BatchJob job, long submittedAtMs) {
    this.job = job;
    this.submittedAtMs = submittedAtMs;
    GroupNumbering numbering = new GroupNumbering(job);
    this.folded = new FoldedGroups(numbering);
    long groups = (long) numbering.groupsOfOccurrence() * job.occurrences();
    this.large = groups >= MIN_GROUPS_OF_LARGE_JOBS;
  }

  BatchJob job() {
    return job;
  }

  /**
   * Returns whether the job has so many groups that only some of them wait in the queue at a time,
   * and that done ones are folded.
   */
  boolean large() {
    return large;
  }

  /** Returns when the job was accepted, milliseconds of the decision loop's monotonic clock. */
  long submittedAtMs() {
    return submittedAtMs;
  }

  GroupState state(GroupKey group) {
    GroupState known = states.get(group);
    if (known != null) {
      return known;
    }
    return folded.contains(group) ? GroupState.DONE : GroupState.NEW;
  }

  /** Returns the groups that have a state of their own. */
  Map<GroupKey, GroupState> states() {
    return states;
  }

  /** Takes over the state from the job log. Must be called before any other change. */
  void restore(Map<GroupKey, GroupState> groups, Optional<LogContent.DoneGroups> doneGroups) {
    doneGroups.ifPresent(this::restoreFolded);
    groups.forEach(this::setState);
    // The groups that have a state may have to be submitted again at any time.
    occurrences.values().forEach(this::open);
  }

  private void restoreFolded(LogContent.DoneGroups content) {
    folded.restore(content);
    nextOccurrence = folded.wholeOccurrences();
    folded.forEachOfOpenOccurrences(group -> recordDone(group));
  }

  /** Sets the state of a group; counts a done group only once. */
  void setState(GroupKey group, GroupState state) {
    GroupState before = states.put(group, state);
    boolean wasDone = before != null && before.phase() == GroupPhase.DONE;
    if (state.phase() != GroupPhase.DONE || wasDone) {
      return;
    }
    doneWithRecord.add(group);
    avoidedWorkers.remove(group);
    if (!folded.contains(group)) {
      recordDone(group);
    }
  }

  private void recordDone(GroupKey group) {
    OccurrenceProgress occurrence = occurrence(group.occurrence());
    if (!occurrence.recordGroupDone(group.step())) {
      return;
    }
    partlyReleased.remove(new OpenStep(group.occurrence(), group.step(), 0));
    if (occurrence.isDone()) {
      if (group.occurrence() < nextOccurrence) {
        occurrences.remove(group.occurrence());
      }
    } else if (occurrence.opened()) {
      partlyReleased.addAll(occurrence.openUnblockedSteps());
    }
  }

  /** Returns whether a group is done and has neither a state nor a record of its own. */
  boolean isFolded(GroupKey group) {
    return !states.containsKey(group) && folded.contains(group);
  }

  /** Returns whether groups of the job are kept as {@link LogContent.DoneGroups}. */
  boolean hasFoldedGroups() {
    return !folded.isEmpty();
  }

  /**
   * Folds the done groups if there are enough of them; returns what replaces their records, the new
   * record to be written before the others are dropped.
   */
  Optional<Fold> foldDoneGroups() {
    boolean due = large && doneWithRecord.size() >= FOLDED_TOGETHER;
    if (!due || folded.bytes() > MAX_FOLDED_BYTES) {
      return Optional.empty();
    }
    List<GroupKey> groups = List.copyOf(doneWithRecord);
    doneWithRecord.clear();
    groups.forEach(folded::add);
    groups.forEach(states::remove);
    return Optional.of(new Fold(folded.content(), groups));
  }

  /** Records that a group has failed on a worker and should run on others. */
  void avoidWorker(GroupKey group, String worker) {
    avoidedWorkers.computeIfAbsent(group, key -> new HashSet<>()).add(worker);
  }

  /** Returns the workers on which a group has failed. */
  Set<String> avoidedWorkers(GroupKey group) {
    return avoidedWorkers.getOrDefault(group, Set.of());
  }

  /** Records that a group was submitted to the scheduler. */
  void recordWaiting(GroupKey group) {
    if (waiting.add(group)) {
      openStep(group).ifPresent(step -> step.addWaiting(1));
    }
  }

  /** Records that a group is not in the scheduler's queue any more. */
  void recordNotWaiting(GroupKey group) {
    if (waiting.remove(group)) {
      openStep(group).ifPresent(step -> step.addWaiting(-1));
    }
  }

  private Optional<OpenStep> openStep(GroupKey group) {
    return Optional.ofNullable(occurrences.get(group.occurrence()))
        .flatMap(occurrence -> occurrence.openStep(group.step()));
  }

  /** Returns the groups in the scheduler's queue. */
  Set<GroupKey> waiting() {
    return Collections.unmodifiableSet(waiting);
  }

  /** Returns whether the job has ended, so that none of its groups may start. */
  boolean closed() {
    return closed;
  }

  void close() {
    closed = true;
  }

  /** Returns whether groups may start that were not released because of the limit. */
  boolean isPartlyReleased(long wallMs) {
    return !closed && (!partlyReleased.isEmpty() || isNextOccurrenceDue(wallMs));
  }

  /** Records that groups were held back by the limit; returns whether that is so the first time. */
  boolean markHeldBack() {
    boolean first = !heldBack;
    heldBack = true;
    return first;
  }

  /**
   * Returns the next waiting groups of steps that are ready. Each ready step has at least one group
   * in the queue, so that none waits for work that cannot run.
   *
   * @param maxWaiting number of groups of the job that may wait in the queue, apart from the first
   *     one of each ready step
   */
  List<GroupKey> releaseReadyGroups(long wallMs, int maxWaiting) {
    List<GroupKey> ready = new ArrayList<>();
    if (closed) {
      return ready;
    }
    do {
      int maxWaitingOfStep = Math.max(1, maxWaiting / Math.max(1, partlyReleased.size()));
      partlyReleased.removeIf(step -> releaseGroups(step, maxWaitingOfStep, ready));
    } while (waiting.size() + ready.size() < maxWaiting && openNextOccurrence(wallMs));
    return ready;
  }

  // Returns whether all groups of the step are released now.
  private boolean releaseGroups(OpenStep step, int maxWaiting, List<GroupKey> ready) {
    boolean gang = job.steps().get(step.step()).gang();
    int added = 0;
    while (!step.isReleased() && step.waiting() + added < maxWaiting) {
      int index = step.releaseNext();
      GroupKey group =
          new GroupKey(
              job.id(), step.occurrence(), step.step(), gang ? GroupKey.WHOLE_STEP : index);
      if (state(group).phase() == GroupPhase.WAITING && !waiting.contains(group)) {
        ready.add(group);
        added++;
      }
    }
    return step.isReleased();
  }

  private boolean openNextOccurrence(long wallMs) {
    skipDoneOccurrences();
    int maxOpen =
        Math.max(MIN_OPEN_OCCURRENCES, MAX_STEPS_OF_OPEN_OCCURRENCES / job.steps().size());
    if (!isNextOccurrenceDue(wallMs) || occurrences.size() >= maxOpen) {
      return false;
    }
    open(occurrence(nextOccurrence++));
    return true;
  }

  private boolean isNextOccurrenceDue(long wallMs) {
    return nextOccurrence < job.occurrences()
        && job.dueMs(nextOccurrence).filter(dueMs -> wallMs < dueMs).isEmpty();
  }

  private void open(OccurrenceProgress occurrence) {
    if (!occurrence.opened()) {
      occurrence.open();
      partlyReleased.addAll(occurrence.openUnblockedSteps());
    }
  }

  private void skipDoneOccurrences() {
    OccurrenceProgress next = occurrences.get(nextOccurrence);
    while (next != null && next.isDone()) {
      occurrences.remove(nextOccurrence++);
      next = occurrences.get(nextOccurrence);
    }
  }

  /** Returns whether every group of every occurrence is done. */
  boolean allDone() {
    skipDoneOccurrences();
    return nextOccurrence >= job.occurrences() && occurrences.isEmpty();
  }

  /** Returns whether all groups of a step of an occurrence are done. */
  boolean isStepDone(int occurrence, int step) {
    OccurrenceProgress known = occurrences.get(occurrence);
    return known == null ? occurrence < nextOccurrence : known.isStepDone(step);
  }

  private OccurrenceProgress occurrence(int number) {
    return occurrences.computeIfAbsent(number, key -> new OccurrenceProgress(key, job));
  }
}
