package org.wheatwall.entry.batch.log;

import org.wheatwall.wire.http.Problems;

/** Why a call to the platform's log failed, and whether it may have had an effect. */
public final class LogFailure extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Kinds of failure. */
  public enum Kind {
    /** Rejected without effect; the same call may succeed later. */
    NOT_DONE,
    /** No response: the call may have been carried out, or may be later. */
    UNKNOWN,
    /** Another process has taken over the producer's name with a higher epoch. */
    FENCED,
    /** The log does not end where the call requires. */
    MOVED,
    /** The call's sequence number does not follow the last one. */
    OUT_OF_SEQUENCE,
    /** The requested records have been dropped. */
    HISTORY_GONE
  }

  private final Kind kind;

  /** Creates a failure. */
  public LogFailure(Kind kind, String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  /** Returns the kind. */
  public Kind kind() {
    return kind;
  }

  /**
   * Returns the failure inside the wrappers that futures add; any other exception counts as
   * UNKNOWN.
   */
  public static LogFailure of(Throwable failure) {
    Throwable cause = Problems.unwrap(failure);
    return cause instanceof LogFailure known
        ? known
        : new LogFailure(Kind.UNKNOWN, String.valueOf(cause));
  }
}
