package org.wheatwall.core.batch.decision;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;

/**
 * The state of all jobs, built from the records of the job log in the log's order. Every entry host
 * keeps one and serves queries from it; a new decider starts from it.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
public final class JobTable {
  private final Map<String, JobRecord> jobs = new LinkedHashMap<>();
  private final Map<String, LogContent.Host> hosts = new LinkedHashMap<>();
  private Optional<LogContent.Term> term = Optional.empty();
  private long termNumber;

  /** Applies the record at {@code offset}. */
  public void apply(LogEntry entry, long offset) {
    String name = entry.key().name();
    switch (entry.key().kind()) {
      case TERM -> entry.content().ifPresent(content -> applyTerm(content, offset));
      case GROUP -> applyGroup(entry);
      case JOB -> applyDefinition(name, entry.content(), offset);
      case CANCEL ->
          recordFor(name)
              .setCancellation(entry.content().map(LogContent.Cancellation.class::cast), offset);
      case END -> recordFor(name).setEnd(entry.content().map(LogContent.End.class::cast));
      case DONE_GROUPS ->
          recordFor(name).setDoneGroups(entry.content().map(LogContent.DoneGroups.class::cast));
      case HOST -> applyHost(name, entry.content());
      case LEASE_STOP -> {
        // Kept by LeaseStops, with the time at which it was read.
        return;
      }
    }
    dropIfEmpty(jobIdOf(entry.key()));
  }

  /** Returns the record of a job that was accepted and not yet dropped. */
  public Optional<JobRecord> job(String id) {
    return Optional.ofNullable(jobs.get(id)).filter(record -> record.job().isPresent());
  }

  /** Returns what the log has of a job, also if it has no definition of it. */
  public Optional<JobRecord> record(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** Returns all records, in the order in which their jobs first appeared in the log. */
  public Collection<JobRecord> jobs() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  /** Returns the number of accepted jobs of a queue of which no task can have begun. */
  public int pendingJobs(String queue) {
    int count = 0;
    for (JobRecord record : jobs.values()) {
      boolean ofQueue = record.job().filter(job -> job.queue().equals(queue)).isPresent();
      if (ofQueue && record.pending()) {
        count++;
      }
    }
    return count;
  }

  /** Returns the entry hosts by name, including stopped ones until their records are dropped. */
  public Map<String, LogContent.Host> hosts() {
    return Collections.unmodifiableMap(hosts);
  }

  /** Returns the latest claim or renewal of the term. */
  public Optional<LogContent.Term> term() {
    return term;
  }

  /** Returns the number of the latest term, or 0 if none has been claimed. */
  public long termNumber() {
    return termNumber;
  }

  private void applyHost(String name, Optional<LogContent> content) {
    if (content.isPresent()) {
      hosts.put(name, (LogContent.Host) content.get());
    } else {
      hosts.remove(name);
    }
  }

  private void applyTerm(LogContent content, long offset) {
    LogContent.Term next = (LogContent.Term) content;
    term = Optional.of(next);
    termNumber = next.term() == 0 ? termOfClaim(offset) : next.term();
  }

  /** Returns the number of the term that is claimed at {@code offset}; never 0. */
  public static long termOfClaim(long offset) {
    return offset + 1;
  }

  private void applyDefinition(String id, Optional<LogContent> content, long offset) {
    JobRecord record = recordFor(id);
    if (content.isEmpty()) {
      record.clearDefinition();
    } else if (record.definition().isEmpty() || record.isVoid()) {
      record.setDefinition((LogContent.Definition) content.get(), offset);
    }
  }

  /**
   * Returns the definition of a job that counts, if the record at {@code offset} hides it: the
   * submission in that record came before a cancellation that the first does not fall under, so
   * that whoever reads only the newest record of each key would take the job for cancelled.
   */
  public Optional<LogContent.Definition> hiddenDefinition(LogEntry latest, long offset) {
    Optional<JobRecord> record = record(latest.key().name()).filter(known -> !known.isVoid());
    Optional<LogContent.Definition> next = latest.content().map(LogContent.Definition.class::cast);
    return next.filter(later -> record.filter(known -> known.isVoid(later, offset)).isPresent())
        .flatMap(later -> record.get().definition());
  }

  private void applyGroup(LogEntry entry) {
    GroupKey.parse(entry.key().name())
        .ifPresent(
            group ->
                recordFor(group.jobId())
                    .setGroup(
                        group,
                        entry.content().map(content -> ((LogContent.Group) content).state())));
  }

  private static String jobIdOf(LogKey key) {
    if (key.kind() != LogKey.Kind.GROUP) {
      return key.name();
    }
    return GroupKey.parse(key.name()).map(GroupKey::jobId).orElse("");
  }

  private JobRecord recordFor(String id) {
    return jobs.computeIfAbsent(id, JobRecord::new);
  }

  private void dropIfEmpty(String id) {
    JobRecord record = jobs.get(id);
    if (record != null && record.isEmpty()) {
      jobs.remove(id);
    }
  }
}
