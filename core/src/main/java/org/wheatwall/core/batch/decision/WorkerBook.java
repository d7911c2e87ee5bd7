package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/** The workers of a service as the decider knows them, and the scheduler's view of them. */
final class WorkerBook {
  // With more slow ones than this share something else is wrong, and work needs room.
  private static final int MOST_ASIDE_SHARE = 4;

  private final Scheduler scheduler;
  private final Map<String, WorkerRecord> workers = new LinkedHashMap<>();
  private final WorkerLives lives = new WorkerLives();
  private final long earlierOrdersUntilMs;
  private int version;
  private long newsAtMs;

  /**
   * Creates an empty book.
   *
   * @param termStartMs start of the decider's term
   * @param earlierOrdersUntilMs earlier deciders gave no order later
   */
  WorkerBook(Scheduler scheduler, long termStartMs, long earlierOrdersUntilMs) {
    this.scheduler = scheduler;
    this.earlierOrdersUntilMs = earlierOrdersUntilMs;
    this.newsAtMs = termStartMs;
  }

  /** Returns what is known of a life of a worker; of one that is over, nothing is kept. */
  WorkerRecord record(String id) {
    WorkerRecord known = workers.get(id);
    if (known != null) {
      return known;
    }
    WorkerRecord fresh = new WorkerRecord(id, earlierOrdersUntilMs);
    if (!lives.isOver(id)) {
      workers.put(id, fresh);
      lives.add(id);
    }
    return fresh;
  }

  /** Returns which lives of workers are known. */
  WorkerLives lives() {
    return lives;
  }

  Optional<WorkerRecord> find(String id) {
    return Optional.ofNullable(workers.get(id));
  }

  List<WorkerRecord> all() {
    return new ArrayList<>(workers.values());
  }

  /** Takes in an entry of the platform's list; returns whether the worker was not listed before. */
  boolean list(WorkerInfo info) {
    WorkerRecord record = record(info.id());
    boolean fresh = !record.listed();
    boolean sameRoom = record.info().map(WorkerInfo::capacity).equals(Optional.of(info.capacity()));
    record.list(info);
    version += fresh || !sameRoom ? 1 : 0;
    scheduler
        .cluster()
        .add(
            new WorkerHost(
                info.id(), GroupJobs.ZONE, Names.toValidName(info.rack()), info.capacity()));
    scheduler.cluster().setLabels(info.id(), labels(info));
    refresh(record);
    return fresh;
  }

  /** Returns whether a worker, by its newest entry, has room for an amount in all. */
  boolean hasRoomFor(String id, ResourceAmount amount) {
    return find(id)
        .flatMap(WorkerRecord::info)
        .filter(i -> i.capacity().covers(amount))
        .isPresent();
  }

  /** Notes that the platform no longer lists a worker; what runs there may go on. */
  boolean unlist(String id, long nowMs) {
    WorkerRecord record = workers.get(id);
    if (record == null || !record.listed()) {
      return false;
    }
    record.unlist(nowMs);
    refresh(record);
    return true;
  }

  /** Notes that a worker has answered; returns whether it was silent before. */
  boolean heard(String id, long nowMs) {
    WorkerRecord record = record(id);
    boolean wasSilent = record.silent();
    boolean before = record.usable();
    record.heard(nowMs);
    if (!before) {
      refresh(record);
    }
    newsAtMs = wasSilent ? nowMs : newsAtMs;
    return wasSilent;
  }

  /** Returns when a worker that had been silent was last heard. */
  long newsAtMs() {
    return newsAtMs;
  }

  /** Notes that a worker does not answer; returns whether that is new. */
  boolean suspect(String id) {
    WorkerRecord record = record(id);
    boolean fresh = record.suspect();
    refresh(record);
    return fresh;
  }

  /** Notes that a worker refused a start; returns the delay that begins, 0 if one is under way. */
  int startRefused(String id, long nowMs) {
    WorkerRecord record = record(id);
    int delayMs = record.backoff().refused(nowMs);
    refresh(record);
    return delayMs;
  }

  /** Notes that a worker took a start. */
  void startTaken(String id) {
    WorkerRecord record = record(id);
    record.backoff().accepted();
    refresh(record);
  }

  /** Ends delays of starts that are over; returns whether there were any. */
  boolean endDelays(long nowMs) {
    boolean ended = false;
    for (WorkerRecord record : workers.values()) {
      if (record.backoff().endIfOver(nowMs)) {
        refresh(record);
        ended = true;
      }
    }
    return ended;
  }

  /**
   * Leaves a slow worker aside, or takes it back; returns whether that changed anything. Most
   * workers stay in use whatever is measured.
   */
  boolean setAside(String id, boolean slow) {
    WorkerRecord record = record(id);
    boolean allowed = !slow || record.aside() || aside().size() < workers.size() / MOST_ASIDE_SHARE;
    if (record.aside() == slow || !allowed) {
      return false;
    }
    record.setAside(slow);
    refresh(record);
    return true;
  }

  /** Returns the workers that are left aside. */
  List<String> aside() {
    return workers.values().stream().filter(WorkerRecord::aside).map(WorkerRecord::id).toList();
  }

  /** Forgets a worker of which nothing can run any more. */
  void remove(String id) {
    workers.remove(id);
    lives.remove(id);
    version++;
    scheduler.cluster().remove(id);
    scheduler.hostsChanged();
  }

  /** Changes whenever another worker is listed or forgotten, or one has other room. */
  int version() {
    return version;
  }

  /**
   * Returns whether some rack, if it were empty, would hold all tasks of a step. True as long as no
   * worker is known.
   *
   * @param only the only workers that count; all if empty
   */
  boolean someRackHolds(StepSpec step, String service, Optional<Set<String>> only) {
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
    int fitting = info.capacity().fits(step.taskAmount());
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
