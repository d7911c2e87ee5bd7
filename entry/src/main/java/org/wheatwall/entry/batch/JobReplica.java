package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import java.util.List;
import java.util.Optional;
import org.wheatwall.core.batch.decision.JobRecord;
import org.wheatwall.core.batch.decision.JobTable;
import org.wheatwall.core.batch.decision.RunTimes;
import org.wheatwall.core.batch.decision.TermRule;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.job.decision.HostPaces;
import org.wheatwall.entry.batch.log.KeyedLog;
import org.wheatwall.entry.batch.log.KeyedRecord;
import org.wheatwall.entry.batch.log.LogFollower;
import org.wheatwall.entry.batch.peer.HostRoster;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.wire.batch.JobLogCodec;

/**
 * The job log as this host has read it.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class JobReplica implements LogFollower.Listener {
  private final TermRule rule;
  private final HostRoster roster;
  private final EndWatch ends;
  private final Clock clock;
  private final DecisionLog decisions;
  private final RunTimes runTimes = new RunTimes();
  private JobTable table = new JobTable();
  private Listener listener;
  private Runnable whenRegained = () -> {};

  /** Told what the log brings. */
  interface Listener {
    /** A job that has not ended was read; it may have been read before. */
    void accepted(BatchJob job);

    /** The cancellation of a job was read. */
    void cancelled(String jobId);

    /** A record of a term was read at {@code offset}. */
    void termRead(LogContent.Term term, long offset);

    /** The whole log was read anew. */
    void restarted();
  }

  JobReplica(TermRule rule, HostRoster roster, EndWatch ends, Clock clock, DecisionLog decisions) {
    this.rule = rule;
    this.roster = roster;
    this.ends = ends;
    this.clock = clock;
    this.decisions = decisions;
  }

  /** Sets who is told; to be called before the log is read. */
  void listen(Listener next) {
    listener = next;
  }

  /** Sets what is run once the log can be read again after it could not. */
  void whenRegained(Runnable task) {
    whenRegained = task;
  }

  /** Returns the jobs; another table takes its place when the log is read anew. */
  JobTable table() {
    return table;
  }

  /** Returns how fast workers are, by the records that were read. */
  HostPaces paces() {
    return runTimes.paces();
  }

  @Override
  public void restart(List<KeyedLog.NewestRecord> newest) {
    table = new JobTable();
    runTimes.interrupted();
    for (KeyedLog.NewestRecord entry : newest) {
      decode(entry.record()).ifPresent(read -> table.apply(read, entry.offset()));
    }
    rule.sawDecider(clock.nowMs());
    table.hosts().keySet().forEach(name -> roster.seen(name, clock.nowMs()));
    for (JobRecord record : List.copyOf(table.jobs())) {
      record.job().filter(job -> record.end().isEmpty()).ifPresent(listener::accepted);
      if (record.cancelled()) {
        listener.cancelled(record.id());
      }
    }
    listener.restarted();
  }

  @Override
  public void next(KeyedRecord record, long offset) {
    Optional<LogEntry> decoded = decode(record);
    if (decoded.isEmpty()) {
      return;
    }
    LogEntry entry = decoded.get();
    long termBefore = table.termNumber();
    table.apply(entry, offset);
    if (table.termNumber() != termBefore) {
      runTimes.interrupted();
    }
    LogKey key = entry.key();
    if (key.kind().writtenByDecider()) {
      rule.sawDecider(clock.nowMs());
    }
    switch (key.kind()) {
      case TERM -> listener.termRead((LogContent.Term) entry.content().orElseThrow(), offset);
      case JOB ->
          table
              .job(key.name())
              .filter(known -> known.end().isEmpty())
              .flatMap(JobRecord::job)
              .ifPresent(listener::accepted);
      case CANCEL -> listener.cancelled(key.name());
      case HOST -> roster.seen(key.name(), clock.nowMs());
      case END -> ends.ended(key.name());
      case GROUP -> GroupKey.parse(key.name()).ifPresent(group -> measure(group, entry));
    }
  }

  private void measure(GroupKey group, LogEntry entry) {
    Optional<GroupState> state =
        entry.content().map(content -> ((LogContent.Group) content).state());
    runTimes.read(group, state, clock.nowMs());
  }

  @Override
  public void regained() {
    runTimes.interrupted();
    rule.sawOutageEnd(clock.nowMs());
    whenRegained.run();
  }

  private Optional<LogEntry> decode(KeyedRecord record) {
    try {
      return JobLogCodec.decode(record.key(), record.value());
    } catch (Refusal refusal) {
      decisions.note("record-malformed", field("cause", refusal.getMessage()));
      return Optional.empty();
    }
  }
}
