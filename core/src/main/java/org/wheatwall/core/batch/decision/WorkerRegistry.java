package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
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
  // A first call takes its time limit at the most, and waits for others before it.
  private static final int FIRST_RESPONSE_MS = 5000;

  private final Scheduler scheduler;
  private final Map<String, WorkerRecord> workers = new LinkedHashMap<>();
  private final WorkerIncarnations incarnations = new WorkerIncarnations();
  private final RackCapacities rackCapacities = new RackCapacities(workers.values());
  private final long termStartMs;
  private final long earlierCommandsUntilMs;
  private long firstListedAtMs = Long.MAX_VALUE;
  private final Map<String, Long> lastLeaseLimits = new HashMap<>();
  private Consumer<String> removalListener = worker -> {};
  private Set<String> evacuatedZones = Set.of();
  private int version;
  private long lastRecoveryMs;
  // Workers whose starts are delayed; some delays may have ended early.
  private final Set<String> delayed = new LinkedHashSet<>();
  private int silentCount;
  private int awaitedCount;
  private int avoidedCount;

  /**
   * Creates an empty registry.
   *
   * @param termStartMs start of the decider's term, milliseconds
   * @param earlierCommandsUntilMs time after which earlier deciders sent no commands, milliseconds
   */
  WorkerRegistry(Scheduler scheduler, long termStartMs, long earlierCommandsUntilMs) {
    this.scheduler = scheduler;
    this.termStartMs = termStartMs;
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
    long lastLeaseMs = lastLeaseLimits.getOrDefault(id, earlierCommandsUntilMs);
    WorkerRecord fresh = new WorkerRecord(id, Math.min(earlierCommandsUntilMs, lastLeaseMs));
    if (!incarnations.isSuperseded(id)) {
      workers.put(id, fresh);
      count(fresh, 1);
      incarnations.add(id);
    }
    return fresh;
  }

  /** Returns the time after which earlier deciders sent no commands, milliseconds. */
  long earlierCommandsUntilMs() {
    return earlierCommandsUntilMs;
  }

  /**
   * Returns whether a worker has been silent for so long that no lease is to be extended there: a
   * call to it failed, or the platform lists other workers and has not listed it in this term.
   */
  boolean isSilent(String id, long nowMs) {
    WorkerRecord record = getOrCreate(id);
    long sinceMs = record.info().isEmpty() ? firstListedAtMs : record.silentSinceMs();
    int durationMs =
        record.responded() ? LeaseExtensions.STOP_AFTER_MS : LeaseExtensions.FIRST_STOP_AFTER_MS;
    return sinceMs != Long.MAX_VALUE && nowMs - sinceMs >= durationMs;
  }

  /**
   * Returns whether the first call to a listed worker may still be answered, so that its runs are
   * not given up whatever is known of their leases: it may report that they are done.
   */
  boolean awaitsFirstResponse(String id, long nowMs) {
    return nowMs - termStartMs < FIRST_RESPONSE_MS && getOrCreate(id).awaitsFirstResponse();
  }

  /**
   * Records that no lease was extended at a worker after a time, milliseconds. This counts until
   * {@link #removeLastLeaseLimit}, also for a superseded incarnation, of which no record is kept.
   */
  void limitLastLease(String id, long sinceMs) {
    lastLeaseLimits.merge(id, sinceMs, Math::min);
    find(id).ifPresent(record -> record.limitLastLease(sinceMs));
  }

  /** Records that leases may be extended at a worker from now on. */
  void removeLastLeaseLimit(String id) {
    lastLeaseLimits.remove(id);
  }

  /** Records that no lease may be extended at a worker. */
  void stopLeases(String id) {
    setLeasesStopped(getOrCreate(id), true);
  }

  /** Records that leases may be extended at a worker again, if it is still known. */
  void allowLeases(String id) {
    find(id).ifPresent(record -> setLeasesStopped(record, false));
  }

  private void setLeasesStopped(WorkerRecord record, boolean stopped) {
    record.setLeasesStopped(stopped);
    refresh(record);
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

  /** Returns the records as a view, for loops that change no worker. */
  Collection<WorkerRecord> records() {
    return Collections.unmodifiableCollection(workers.values());
  }

  /** Returns the number of records. */
  int size() {
    return workers.size();
  }

  /** Returns the number of silent workers, see {@link WorkerRecord#silent}. */
  int silentCount() {
    return silentCount;
  }

  /** Returns the number of workers whose first response is awaited. */
  int awaitedCount() {
    return awaitedCount;
  }

  // Called with -1 before a change of a record and with 1 after it.
  private void count(WorkerRecord record, int sign) {
    if (workers.get(record.id()) == record) {
      silentCount += record.silent() ? sign : 0;
      awaitedCount += record.awaitsFirstResponse() ? sign : 0;
      avoidedCount += record.avoided() ? sign : 0;
    }
  }

  /** Applies an entry of the platform's list; returns whether the worker was not listed before. */
  boolean updateListing(WorkerInfo info, long nowMs) {
    firstListedAtMs = Math.min(firstListedAtMs, nowMs);
    WorkerRecord record = getOrCreate(info.id());
    boolean fresh = !record.listed();
    boolean sameCapacity =
        record.info().map(WorkerInfo::capacity).equals(Optional.of(info.capacity()));
    if (!record.info().filter(info::hasSameRoom).isPresent()) {
      rackCapacities.clear();
    }
    count(record, -1);
    record.updateListing(info, nowMs);
    count(record, 1);
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
    count(record, -1);
    record.markUnlisted(nowMs);
    count(record, 1);
    refresh(record);
    return true;
  }

  /** Records a response of a worker; returns whether it was silent before. */
  boolean onResponse(String id, long nowMs) {
    WorkerRecord record = getOrCreate(id);
    boolean wasSilent = record.silent();
    boolean wasUsable = record.usable();
    count(record, -1);
    record.onResponse(nowMs);
    count(record, 1);
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
    count(record, -1);
    boolean fresh = record.markSuspected();
    count(record, 1);
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
    delayed.add(id);
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
    for (Iterator<String> ids = delayed.iterator(); ids.hasNext(); ) {
      WorkerRecord record = workers.get(ids.next());
      if (record != null && record.backoff().endIfElapsed(nowMs)) {
        refresh(record);
        ended = true;
      }
      if (record == null || !record.backoff().active()) {
        ids.remove();
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
        !slow || record.avoided() || avoidedCount < workers.size() / AVOIDED_SHARE_DIVISOR;
    if (record.avoided() == slow || !allowed) {
      return false;
    }
    count(record, -1);
    record.setAvoided(slow);
    count(record, 1);
    refresh(record);
    return true;
  }

  /** Returns the workers that are avoided because they are slow. */
  List<String> avoidedWorkers() {
    return avoidedCount == 0
        ? List.of()
        : workers.values().stream().filter(WorkerRecord::avoided).map(WorkerRecord::id).toList();
  }

  /** Sets what is called with the identifier of each worker that is removed. */
  void onRemoved(Consumer<String> listener) {
    removalListener = listener;
  }

  /** Removes a worker on which nothing can run any more. */
  void remove(String id) {
    find(id).ifPresent(record -> count(record, -1));
    workers.remove(id);
    rackCapacities.clear();
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
    return workers.isEmpty()
        || rackCapacities.mostTasks(step, service, only) >= step.tasksInGroup();
  }

  private void refresh(WorkerRecord record) {
    scheduler.cluster().setHeard(record.id(), record.heard());
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
