package org.wheatwall.entry.batch.log;

import org.wheatwall.wire.http.Problems;

/** Why a call to the platform's log did not succeed, and whether it may have had an effect. */
public final class LogFailure extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Kinds of failure. */
  public enum Kind {
    /** Refused; nothing was done, and the same call may succeed later. */
    NOT_DONE,
    /** No answer: it may have been done, or may be later. */
    UNKNOWN,
    /** Another process has taken the producer's name with a higher epoch. */
    FENCED,
    /** The log does not end where the call requires. */
    MOVED,
    /** The call's number does not follow the last one. */
    OUT_OF_SEQUENCE,
    /** The records asked for are no longer kept. */
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

  /** Returns the failure inside the wrappers that futures add; any other one counts as unknown. */
  public static LogFailure of(Throwable failure) {
    Throwable cause = Problems.unwrap(failure);
    return cause instanceof LogFailure known
        ? known
        : new LogFailure(Kind.UNKNOWN, String.valueOf(cause));
  }
}
