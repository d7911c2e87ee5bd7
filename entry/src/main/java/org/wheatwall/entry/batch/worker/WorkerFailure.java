package org.wheatwall.entry.batch.worker;

/** Why a worker did not report its tasks. */
public final class WorkerFailure extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Kinds of failure. */
  public enum Kind {
    /** No complete response arrived, or the worker could not be reached. */
    SILENT,
    /** The worker has seen a higher term. */
    FENCED,
    /** Another incarnation of the worker responded. */
    GONE
  }

  private final Kind kind;

  /** Creates a failure. */
  public WorkerFailure(Kind kind, String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  /** Returns the kind. */
  public Kind kind() {
    return kind;
  }
}
