package org.wheatwall.core.batch.model;

import java.util.Optional;

/**
 * Key of a job log record. The log keeps the newest record of each key.
 *
 * @param name name of the job, group of tasks, entry host or incarnation of a worker; empty for the
 *     term
 */
public record LogKey(Kind kind, String name) {
  /** Key under which all deciders claim and renew their term. */
  public static final LogKey TERM = new LogKey(Kind.TERM, "");

  /** Kinds of records. The letter is part of the stored key and must never change. */
  public enum Kind {
    TERM('T'),
    JOB('J'),
    CANCEL('C'),
    END('E'),
    GROUP('G'),
    HOST('H'),
    DONE_GROUPS('D'),
    LEASE_STOP('L');

    private final char letter;

    Kind(char letter) {
      this.letter = letter;
    }

    /** Returns whether only the decider writes records of this kind. */
    public boolean writtenByDecider() {
      return this == TERM
          || this == END
          || this == GROUP
          || this == DONE_GROUPS
          || this == LEASE_STOP;
    }
  }

  /** Returns the key as text, for {@link #parse}. */
  public String text() {
    return kind.letter + "/" + name;
  }

  /** Parses a key; returns empty if {@code text} is not a key. */
  public static Optional<LogKey> parse(String text) {
    if (text.length() < 2 || text.charAt(1) != '/') {
      return Optional.empty();
    }
    for (Kind kind : Kind.values()) {
      if (kind.letter == text.charAt(0)) {
        return Optional.of(new LogKey(kind, text.substring(2)));
      }
    }
    return Optional.empty();
  }

  /** Returns the key of a job's definition. */
  public static LogKey job(String jobId) {
    return new LogKey(Kind.JOB, jobId);
  }

  /** Returns the key of a job's cancellation. */
  public static LogKey cancel(String jobId) {
    return new LogKey(Kind.CANCEL, jobId);
  }

  /** Returns the key of a job's end. */
  public static LogKey end(String jobId) {
    return new LogKey(Kind.END, jobId);
  }

  /** Returns the key of the done groups of a job whose own records were dropped. */
  public static LogKey doneGroups(String jobId) {
    return new LogKey(Kind.DONE_GROUPS, jobId);
  }

  /** Returns the key of an entry host. */
  public static LogKey host(String name) {
    return new LogKey(Kind.HOST, name);
  }

  /** Returns the key of the end of lease extensions at an incarnation of a worker. */
  public static LogKey leaseStop(String worker) {
    return new LogKey(Kind.LEASE_STOP, worker);
  }

  /** Returns the key of a group of tasks. */
  public static LogKey group(GroupKey group) {
    return new LogKey(Kind.GROUP, group.text());
  }
}
