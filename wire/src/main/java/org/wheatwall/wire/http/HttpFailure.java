package org.wheatwall.wire.http;

/** Thrown if no complete response was received; tells whether the request may have been sent. */
public final class HttpFailure extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Kinds of failure. */
  public enum Kind {
    /** No byte of the request was handed to the network. */
    NOT_SENT,
    /** The request may have been received; no complete response arrived. */
    LOST
  }

  private final Kind kind;

  /** Creates a failure. */
  public HttpFailure(Kind kind, String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  /** Returns the kind. */
  public Kind kind() {
    return kind;
  }
}
