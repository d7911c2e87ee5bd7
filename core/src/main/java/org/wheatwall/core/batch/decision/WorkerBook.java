package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.model.WorkerHost;

/** The workers of a service as the decider knows them, and the scheduler's view of them. */
final class WorkerBook {
  private final Scheduler scheduler;
  private final Map<String, WorkerRecord> workers = new LinkedHashMap<>();
  private final long termStartMs;

  /**
   * Creates an empty book.
   *
   * @param termStartMs start of the decider's term; earlier deciders gave no order later
   */
  WorkerBook(Scheduler scheduler, long termStartMs) {
    this.scheduler = scheduler;
    this.termStartMs = termStartMs;
  }

  WorkerRecord record(String id) {
    return workers.computeIfAbsent(id, key -> new WorkerRecord(key, termStartMs));
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
    record.list(info);
    scheduler
        .cluster()
        .add(new WorkerHost(info.id(), GroupJobs.ZONE, info.rack(), info.capacity()));
    scheduler.cluster().setLabels(info.id(), labels(info));
    refresh(record);
    return fresh;
  }

  /** Notes that the platform no longer lists a worker; what runs there may go on. */
  boolean unlist(String id) {
    WorkerRecord record = workers.get(id);
    if (record == null || !record.listed()) {
      return false;
    }
    record.unlist();
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
    return wasSilent;
  }

  /** Notes that a worker does not answer; returns whether that is new. */
  boolean suspect(String id) {
    WorkerRecord record = record(id);
    boolean fresh = record.suspect();
    refresh(record);
    return fresh;
  }

  /** Forgets a worker of which nothing can run any more. */
  void remove(String id) {
    workers.remove(id);
    scheduler.cluster().remove(id);
    scheduler.hostsChanged();
  }

  /** Returns the accelerators of the largest rack. */
  int largestRack() {
    Map<String, Integer> racks = new HashMap<>();
    for (WorkerRecord record : workers.values()) {
      record
          .info()
          .ifPresent(
              info -> racks.merge(info.rack(), info.capacity().accelerators(), Integer::sum));
    }
    return racks.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  private void refresh(WorkerRecord record) {
    scheduler.setHostAvailable(record.id(), record.usable());
  }

  private static Labels labels(WorkerInfo info) {
    Map<String, String> labels = new HashMap<>();
    info.labels().forEach(label -> labels.put(label, label));
    labels.put(GroupJobs.serviceLabel(info.service()), info.service());
    return new Labels(labels);
  }
}
