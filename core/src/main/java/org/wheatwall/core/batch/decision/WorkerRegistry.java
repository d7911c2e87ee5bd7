package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/** Tracks the known workers of a service, and keeps the scheduler's hosts up to date with them. */
final class WorkerRegistry {
  // If a larger share seems slow, something else is at fault, and the work needs their capacity.
  private static final int AVOIDED_SHARE_DIVISOR = 4;

  private final Scheduler scheduler;
  private final Map<String, WorkerRecord> workers = new LinkedHashMap<>();
  private final WorkerIncarnations incarnations = new WorkerIncarnations();
  private final long earlierCommandsUntilMs;
  private Consumer<String> removalListener = worker -> {};
  private Set<String> evacuatedZones = Set.of();
  private int version;
  private long lastRecoveryMs;

  /**
   * Creates an empty registry.
   *
   * @param termStartMs start of the decider's term, milliseconds
   * @param earlierCommandsUntilMs time after which earlier deciders sent no commands, milliseconds
   */
  WorkerRegistry(Scheduler scheduler, long termStartMs, long earlierCommandsUntilMs) {
    this.scheduler = scheduler;
    this.earlierCommandsUntilMs = earlierCommandsUntilMs;
    this.lastRecoveryMs = termStartMs;
  }

  /**
   * Returns the record of an incarnation of a worker, creating it if needed. A record created for a
   * superseded incarnation is not kept.
   */
  WorkerRecord getOrCreate(String id) {
    WorkerRecord known = workers.get(id);
    if (known != null) {
      return known;
    }
    WorkerRecord fresh = new WorkerRecord(id, earlierCommandsUntilMs);
    if (!incarnations.isSuperseded(id)) {
      workers.put(id, fresh);
      incarnations.add(id);
    }
    return fresh;
  }

  /** Returns the known incarnations of workers. */
  WorkerIncarnations incarnations() {
    return incarnations;
  }

  Optional<WorkerRecord> find(String id) {
    return Optional.ofNullable(workers.get(id));
  }

  List<WorkerRecord> all() {
    return new ArrayList<>(workers.values());
  }

  /** Applies an entry of the platform's list; returns whether the worker was not listed before. */
  boolean updateListing(WorkerInfo info) {
    WorkerRecord record = getOrCreate(info.id());
    boolean fresh = !record.listed();
    boolean sameCapacity =
        record.info().map(WorkerInfo::capacity).equals(Optional.of(info.capacity()));
    record.updateListing(info);
    record.setEvacuated(evacuatedZones.contains(info.zone()));
    version += fresh || !sameCapacity ? 1 : 0;
    scheduler
        .cluster()
        .add(
            new WorkerHost(
                info.id(), GroupJobs.ZONE, Names.toValidName(info.rack()), info.capacity()));
    scheduler.cluster().setLabels(info.id(), labels(info));
    refresh(record);
    return fresh;
  }

  /** Allows no new work in the given availability zones, and allows it in all others. */
  void setEvacuatedZones(Set<String> zones) {
    evacuatedZones = Set.copyOf(zones);
    for (WorkerRecord record : workers.values()) {
      record.setEvacuated(record.info().map(WorkerInfo::zone).filter(zones::contains).isPresent());
      refresh(record);
    }
  }

  /** Returns the availability zones in which no new work is allowed. */
  Set<String> evacuatedZones() {
    return evacuatedZones;
  }

  /** Returns whether the total capacity of a worker, as last listed, covers an amount. */
  boolean hasCapacityFor(String id, ResourceAmount amount) {
    return find(id)
        .flatMap(WorkerRecord::info)
        .filter(i -> i.capacity().covers(amount))
        .isPresent();
  }

  /**
   * Records that the platform no longer lists a worker, whose tasks may go on running; returns
   * whether it was listed.
   */
  boolean markUnlisted(String id, long nowMs) {
    WorkerRecord record = workers.get(id);
    if (record == null || !record.listed()) {
      return false;
    }
    record.markUnlisted(nowMs);
    refresh(record);
    return true;
  }

  /** Records a response of a worker; returns whether it was silent before. */
  boolean onResponse(String id, long nowMs) {
    WorkerRecord record = getOrCreate(id);
    boolean wasSilent = record.silent();
    boolean wasUsable = record.usable();
    record.onResponse(nowMs);
    if (!wasUsable) {
      refresh(record);
    }
    lastRecoveryMs = wasSilent ? nowMs : lastRecoveryMs;
    return wasSilent;
  }

  /** Returns when a silent worker last responded again, or the start of the term, milliseconds. */
  long lastRecoveryMs() {
    return lastRecoveryMs;
  }

  /** Marks a worker that does not respond as suspected; returns whether it was not before. */
  boolean markSuspected(String id) {
    WorkerRecord record = getOrCreate(id);
    boolean fresh = record.markSuspected();
    refresh(record);
    return fresh;
  }

  /**
   * Records that a worker refused a start; returns the delay that begins, milliseconds, or 0 if a
   * delay is under way.
   */
  int onStartRefused(String id, long nowMs) {
    WorkerRecord record = getOrCreate(id);
    int delayMs = record.backoff().recordRefusal(nowMs);
    refresh(record);
    return delayMs;
  }

  /** Records that a worker accepted a start. */
  void onStartAccepted(String id) {
    WorkerRecord record = getOrCreate(id);
    record.backoff().recordAcceptance();
    refresh(record);
  }

  /** Ends start delays whose time is over; returns whether there were any. */
  boolean endStartDelays(long nowMs) {
    boolean ended = false;
    for (WorkerRecord record : workers.values()) {
      if (record.backoff().endIfElapsed(nowMs)) {
        refresh(record);
        ended = true;
      }
    }
    return ended;
  }

  /**
   * Excludes a slow worker from new work, or includes it again; returns whether that changed
   * anything. Most workers stay in use whatever is measured.
   */
  boolean setAvoided(String id, boolean slow) {
    WorkerRecord record = getOrCreate(id);
    boolean allowed =
        !slow
            || record.avoided()
            || avoidedWorkers().size() < workers.size() / AVOIDED_SHARE_DIVISOR;
    if (record.avoided() == slow || !allowed) {
      return false;
    }
    record.setAvoided(slow);
    refresh(record);
    return true;
  }

  /** Returns the workers that are avoided because they are slow. */
  List<String> avoidedWorkers() {
    return workers.values().stream().filter(WorkerRecord::avoided).map(WorkerRecord::id).toList();
  }

  /** Sets what is called with the identifier of each worker that is removed. */
  void onRemoved(Consumer<String> listener) {
    removalListener = listener;
  }

  /** Removes a worker on which nothing can run any more. */
  void remove(String id) {
    workers.remove(id);
    removalListener.accept(id);
    incarnations.remove(id);
    version++;
    scheduler.cluster().remove(id);
    scheduler.hostsChanged();
  }

  /**
   * Returns a number that changes whenever a worker is added or removed or its capacity changes.
   */
  int version() {
    return version;
  }

  /**
   * Returns whether some rack, if it were empty, would hold all tasks of a step. Returns true while
   * no worker is known.
   *
   * @param only the workers that count, or empty if all count
   */
  boolean someRackFits(StepSpec step, String service, Optional<Set<String>> only) {
    Map<String, Integer> tasksByRack = new HashMap<>();
    for (WorkerRecord record : workers.values()) {
      boolean counts = only.map(ids -> ids.contains(record.id())).orElse(true);
      record
          .info()
          .filter(info -> counts && info.service().equals(service))
          .ifPresent(info -> tasksByRack.merge(info.rack(), tasksOn(info, step), Integer::sum));
    }
    return workers.isEmpty()
        || tasksByRack.values().stream().anyMatch(tasks -> tasks >= step.tasksInGroup());
  }

  private static int tasksOn(WorkerInfo info, StepSpec step) {
    if (!step.hostLabel().map(info.labels()::contains).orElse(true)) {
      return 0;
    }
    int fitting = info.capacity().countFitting(step.taskAmount());
    return step.spreadLimit() == 0 ? fitting : Math.min(step.spreadLimit(), fitting);
  }

  private void refresh(WorkerRecord record) {
    scheduler.setHostAvailable(record.id(), record.usable());
  }

  private static Labels labels(WorkerInfo info) {
    Map<String, String> labels = new HashMap<>();
    info.labels().stream().map(Names::toLabelText).forEach(label -> labels.put(label, label));
    String service = GroupJobs.serviceLabel(info.service());
    labels.put(service, service);
    return new Labels(labels);
  }
}
