package org.wheatwall.core.batch.decision;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.GroupKey;

/**
 * Indexes the current runs by group, attempt, worker, job and victim, so that no event requires a
 * scan of all runs.
 */
final class RunIndex {
  private final Map<GroupKey, GroupRun> byGroup = new LinkedHashMap<>();
  private final Map<String, GroupRun> byAttempt = new HashMap<>();
  private final Map<String, Set<GroupRun>> byWorker = new HashMap<>();
  private final Map<String, Set<GroupRun>> byJob = new HashMap<>();
  private final Map<String, Set<GroupRun>> byVictim = new HashMap<>();
  private final Set<GroupRun> resendCandidates = new LinkedHashSet<>();

  /** Adds a run; a group has at most one at a time. */
  void add(GroupRun run) {
    byGroup.put(run.group(), run);
    byAttempt.put(run.attemptId(), run);
    addTo(byJob, run.group().jobId(), run);
    run.workers().forEach(worker -> addTo(byWorker, worker, run));
    run.victims().forEach(victim -> addTo(byVictim, victim, run));
  }

  /** Removes a run that has ended. */
  void remove(GroupRun run) {
    byGroup.remove(run.group());
    byAttempt.remove(run.attemptId());
    removeFrom(byJob, run.group().jobId(), run);
    run.workers().forEach(worker -> removeFrom(byWorker, worker, run));
    run.victims().forEach(victim -> removeFrom(byVictim, victim, run));
    resendCandidates.remove(run);
  }

  /** Indexes a run by a later incarnation of a worker instead of an earlier one. */
  void moveToIncarnation(GroupRun run, String earlier, String later) {
    removeFrom(byWorker, earlier, run);
    if (run.workers().contains(later) && byGroup.get(run.group()) == run) {
      addTo(byWorker, later, run);
    }
  }

  Optional<GroupRun> ofGroup(GroupKey group) {
    return Optional.ofNullable(byGroup.get(group));
  }

  Optional<GroupRun> ofAttempt(String attemptId) {
    return Optional.ofNullable(byAttempt.get(attemptId));
  }

  /** Returns the groups that have a run. */
  Set<GroupKey> groups() {
    return Collections.unmodifiableSet(byGroup.keySet());
  }

  /** Returns a copy of the runs of a job. */
  List<GroupRun> ofJob(String jobId) {
    return List.copyOf(byJob.getOrDefault(jobId, Set.of()));
  }

  boolean hasJob(String jobId) {
    return byJob.containsKey(jobId);
  }

  /** Returns a copy of the runs that have a task on a worker. */
  List<GroupRun> onWorker(String worker) {
    return List.copyOf(byWorker.getOrDefault(worker, Set.of()));
  }

  boolean isWorkerInUse(String worker) {
    return byWorker.containsKey(worker);
  }

  /** Returns the workers on which a run has a task. */
  Collection<String> workers() {
    return Collections.unmodifiableSet(byWorker.keySet());
  }

  /** Returns the runs that wait for an attempt to end, and removes these waits. */
  List<GroupRun> removeAllWaitingFor(String attemptId) {
    Set<GroupRun> waiting = byVictim.remove(attemptId);
    return waiting == null ? List.of() : List.copyOf(waiting);
  }

  /** Returns a copy of the runs that wait for an attempt to end. */
  List<GroupRun> waitingFor(String attemptId) {
    return List.copyOf(byVictim.getOrDefault(attemptId, Set.of()));
  }

  /** Removes the wait of a run for an attempt. */
  void removeWait(GroupRun run, String attemptId) {
    removeFrom(byVictim, attemptId, run);
  }

  /** Marks a run as one whose commands may need to be resent. */
  void addResendCandidate(GroupRun run) {
    resendCandidates.add(run);
  }

  /** Returns a copy of the runs whose commands may need to be resent. */
  List<GroupRun> resendCandidates() {
    return List.copyOf(resendCandidates);
  }

  private static void addTo(Map<String, Set<GroupRun>> index, String key, GroupRun run) {
    index.computeIfAbsent(key, name -> new LinkedHashSet<>()).add(run);
  }

  private static void removeFrom(Map<String, Set<GroupRun>> index, String key, GroupRun run) {
    Set<GroupRun> runs = index.get(key);
    if (runs != null && runs.remove(run) && runs.isEmpty()) {
      index.remove(key);
    }
  }
}
