package org.wheatwall.core.batch.model;

import java.util.Optional;

/**
 * Key of a record in the job log. The log keeps the newest record of each key.
 *
 * @param name what the record is about: a job, a group of tasks, an entry host; empty for the term
 */
public record LogKey(Kind kind, String name) {
  /** The one key under which deciders claim and renew their term. */
  public static final LogKey TERM = new LogKey(Kind.TERM, "");

  /** Kinds of records. The letter stands in the stored key, so it never changes. */
  public enum Kind {
    TERM('T'),
    JOB('J'),
    CANCEL('C'),
    END('E'),
    GROUP('G'),
    HOST('H');

    private final char letter;

    Kind(char letter) {
      this.letter = letter;
    }

    /** Returns whether only the decider writes records of this kind. */
    public boolean writtenByDecider() {
      return this == TERM || this == END || this == GROUP;
    }
  }

  /** Returns the text that {@link #parse} reads. */
  public String text() {
    return kind.letter + "/" + name;
  }

  /** Reads a key; empty if {@code text} is none. */
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

  /** Returns the key of an entry host. */
  public static LogKey host(String name) {
    return new LogKey(Kind.HOST, name);
  }

  /** Returns the key of a group of tasks. */
  public static LogKey group(GroupKey group) {
    return new LogKey(Kind.GROUP, group.text());
  }
}
