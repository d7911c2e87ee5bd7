package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.decision.EndedJobs;
import org.wheatwall.core.batch.decision.JobRecord;
import org.wheatwall.core.batch.decision.JobTable;
import org.wheatwall.core.batch.decision.LeaseStops;
import org.wheatwall.core.batch.decision.RunTimeTracker;
import org.wheatwall.core.batch.decision.TermRule;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.entry.batch.log.KeyedLog;
import org.wheatwall.entry.batch.log.KeyedRecord;
import org.wheatwall.entry.batch.log.LogFollower;
import org.wheatwall.entry.batch.peer.HostRoster;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.wire.batch.JobLogCodec;

/**
 * This host's replica of the job log.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class JobReplica implements LogFollower.Listener {
  private final TermRule rule;
  private final HostRoster roster;
  private final RecordWaiters recordWaiters;
  private final Clock clock;
  private final DecisionLog decisions;
  private final AdmissionControl admission;
  private final JobMemoryLimit memoryLimit;
  private final UnknownCancellations unknownCancellations;
  private final RunTimeTracker runTimes;
  private final EndedJobs endedJobs = new EndedJobs();
  private final LeaseStops leaseStops = new LeaseStops();
  private final RetriedJobs retriedJobs = new RetriedJobs();
  private JobTable table = new JobTable();
  private Listener listener;
  private Runnable onLogRecovered = () -> {};

  /** Receives what was read from the log. */
  interface Listener {
    /** Called when a job that has not ended was read; may be called again for the same job. */
    void onJob(BatchJob job);

    /** Called when a definition was read that hides the one that counts from new readers. */
    void onDefinitionHidden(LogContent.Definition hidden);

    /** Called when the cancellation of a job was read. */
    void onCancellation(String jobId);

    /** Called when a record of a term was read at {@code offset}. */
    void onTerm(LogContent.Term term, long offset);

    /** Called when the replica was rebuilt from the newest records of the log. */
    void onReset();
  }

  JobReplica(
      TermRule rule,
      HostRoster roster,
      RecordWaiters recordWaiters,
      AdmissionControl admission,
      JobMemoryLimit memoryLimit,
      UnknownCancellations unknownCancellations,
      Clock clock,
      DecisionLog decisions,
      RunTimeTracker runTimes) {
    this.rule = rule;
    this.roster = roster;
    this.recordWaiters = recordWaiters;
    this.admission = admission;
    this.memoryLimit = memoryLimit;
    this.unknownCancellations = unknownCancellations;
    this.clock = clock;
    this.decisions = decisions;
    this.runTimes = runTimes;
  }

  /** Sets the listener; must be called before the log is read. */
  void setListener(Listener newListener) {
    listener = newListener;
  }

  /** Sets a task that runs once the log can be read again after an outage. */
  void onLogRecovered(Runnable task) {
    onLogRecovered = task;
  }

  /** Returns the jobs; replaced by another table when the replica is rebuilt. */
  JobTable table() {
    return table;
  }

  /** Returns the number of jobs of a queue that have not begun. */
  int pendingJobs(String queue) {
    return table.pendingJobs(queue) + retriedJobs.count(table, queue, clock.nowMs());
  }

  /** Returns since when this host knows of the ends of jobs. */
  EndedJobs endedJobs() {
    return endedJobs;
  }

  /** Returns since when this host knows of workers at which no lease is extended. */
  LeaseStops leaseStops() {
    return leaseStops;
  }

  /** Returns the run times on workers, as learned from the records that were read. */
  RunTimeTracker runTimes() {
    return runTimes;
  }

  @Override
  public void onReset(List<KeyedLog.NewestRecord> newest) {
    table = new JobTable();
    runTimes.discardOpenRuns();
    Set<String> stoppedWorkers = new HashSet<>();
    for (KeyedLog.NewestRecord entry : newest) {
      Optional<LogEntry> decoded = decode(entry.record());
      decoded.ifPresent(record -> table.apply(record, entry.offset()));
      decoded.ifPresent(record -> applyToLeaseStops(record, entry.offset()));
      decoded
          .map(LogEntry::key)
          .filter(key -> key.kind() == LogKey.Kind.LEASE_STOP)
          .ifPresent(key -> stoppedWorkers.add(key.name()));
    }
    leaseStops.retainAll(stoppedWorkers);
    rule.onDeciderRecord(clock.nowMs());
    table.hosts().keySet().forEach(name -> roster.recordSeen(name, clock.nowMs()));
    resetEndedJobs();
    admission.onReset();
    memoryLimit.onReset();
    unknownCancellations.onReset();
    for (JobRecord record : List.copyOf(table.jobs())) {
      memoryLimit.onJob(record);
      unknownCancellations.onChange(record.id(), Optional.of(record));
      addToBacklog(record);
      if (record.end().isEmpty() && !record.isVoid()) {
        record.job().ifPresent(listener::onJob);
      }
      if (record.cancelled()) {
        listener.onCancellation(record.id());
      }
    }
    listener.onReset();
  }

  private void resetEndedJobs() {
    Set<String> ended = new HashSet<>();
    table.jobs().stream()
        .filter(record -> record.end().isPresent() || record.isWithoutJob())
        .forEach(record -> ended.add(record.id()));
    endedJobs.retainAll(ended);
    ended.forEach(id -> endedJobs.add(id, clock.nowMs()));
  }

  @Override
  public void onRecord(KeyedRecord record, long offset) {
    Optional<LogEntry> decoded = decode(record);
    if (decoded.isEmpty()) {
      return;
    }
    LogEntry entry = decoded.get();
    long termBefore = table.termNumber();
    Optional<GroupState> groupBefore = groupState(entry.key());
    boolean retries = groupBefore.isPresent() && isPending(entry.key());
    if (entry.key().kind() == LogKey.Kind.JOB) {
      table.hiddenDefinition(entry, offset).ifPresent(listener::onDefinitionHidden);
    }
    table.apply(entry, offset);
    applyToLeaseStops(entry, offset);
    if (retries && !isPending(entry.key())) {
      GroupKey.parse(entry.key().name())
          .ifPresent(group -> retriedJobs.add(group.jobId(), clock.nowMs()));
    }
    if (table.termNumber() != termBefore) {
      runTimes.discardOpenRuns();
    }
    LogKey key = entry.key();
    if (key.kind().writtenByDecider()) {
      rule.onDeciderRecord(clock.nowMs());
    }
    switch (key.kind()) {
      case TERM -> onTerm((LogContent.Term) entry.content().orElseThrow(), offset);
      case JOB -> {
        memoryLimit.onJobDropped(key.name());
        unknownCancellations.onChange(key.name(), table.record(key.name()));
        table.job(key.name()).ifPresent(this::onJob);
        recordWaiters.onRecord(key);
      }
      case CANCEL -> onCancellation(key.name());
      case HOST -> roster.recordSeen(key.name(), clock.nowMs());
      case END -> onEnd(key.name(), entry.content().isPresent());
      case GROUP ->
          GroupKey.parse(key.name()).ifPresent(group -> onGroup(group, groupBefore, entry));
      case DONE_GROUPS, LEASE_STOP -> {
        // Nobody waits for them.
      }
    }
  }

  private void applyToLeaseStops(LogEntry entry, long offset) {
    LogContent content = entry.content().orElse(null);
    if (content instanceof LogContent.Term term) {
      leaseStops.onTerm(term, offset);
    } else if (content instanceof LogContent.LeaseStop stop) {
      leaseStops.add(entry.key().name(), stop, offset, clock.nowMs());
    } else if (entry.key().kind() == LogKey.Kind.LEASE_STOP) {
      leaseStops.remove(entry.key().name());
    }
  }

  private void onTerm(LogContent.Term term, long offset) {
    admission.onTerm(term);
    listener.onTerm(term, offset);
  }

  private void onJob(JobRecord record) {
    memoryLimit.onJob(record);
    if (record.end().isEmpty() && !record.isVoid()) {
      endedJobs.remove(record.id());
      addToBacklog(record);
      record.job().ifPresent(listener::onJob);
    }
    // A cancellation may come before the definition, if another host appended that.
    if (record.cancelled()) {
      listener.onCancellation(record.id());
    }
  }

  private void onCancellation(String jobId) {
    Optional<JobRecord> record = table.record(jobId);
    unknownCancellations.onChange(jobId, record);
    if (record.filter(JobRecord::isWithoutJob).isPresent()) {
      // The time until it is dropped counts from the latest one.
      endedJobs.remove(jobId);
      endedJobs.add(jobId, clock.nowMs());
    } else if (record.filter(JobRecord::cancelled).isPresent()) {
      admission.onJobClosed(jobId);
      listener.onCancellation(jobId);
    }
  }

  private void onEnd(String jobId, boolean ended) {
    table.job(jobId).ifPresent(memoryLimit::onJob);
    if (ended) {
      endedJobs.add(jobId, clock.nowMs());
    } else {
      endedJobs.remove(jobId);
    }
    admission.onJobClosed(jobId);
    recordWaiters.onRecord(LogKey.end(jobId));
  }

  private void addToBacklog(JobRecord record) {
    if (record.job().isPresent() && record.end().isEmpty() && !record.cancelled()) {
      admission.onJob(record.job().get());
      admission.onGroupsRead(record);
    }
  }

  private Optional<GroupState> groupState(LogKey key) {
    return key.kind() == LogKey.Kind.GROUP
        ? GroupKey.parse(key.name())
            .flatMap(group -> table.job(group.jobId()).map(record -> record.groups().get(group)))
        : Optional.empty();
  }

  private boolean isPending(LogKey key) {
    return GroupKey.parse(key.name())
        .flatMap(group -> table.job(group.jobId()))
        .filter(JobRecord::pending)
        .isPresent();
  }

  private void onGroup(GroupKey group, Optional<GroupState> before, LogEntry entry) {
    Optional<GroupState> state =
        entry.content().map(content -> ((LogContent.Group) content).state());
    admission.onGroupChanged(group, before, state);
    runTimes.onGroupRecord(group, state, clock.nowMs());
  }

  @Override
  public void onRecovered() {
    runTimes.discardOpenRuns();
    rule.onOutageEnd(clock.nowMs());
    onLogRecovered.run();
  }

  private Optional<LogEntry> decode(KeyedRecord record) {
    try {
      return JobLogCodec.decode(record.key(), record.value());
    } catch (Refusal refusal) {
      decisions.log("record-malformed", field("cause", refusal.getMessage()));
      return Optional.empty();
    }
  }
}
