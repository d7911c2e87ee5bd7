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
  private final long receivedBytes;

  /** Creates a failure of a call of whose response nothing was received. */
  public HttpFailure(Kind kind, String message) {
    this(kind, message, 0);
  }

  /**
   * Creates a failure.
   *
   * @param receivedBytes how much of the response had been received, bytes
   */
  public HttpFailure(Kind kind, String message, long receivedBytes) {
    super(message, null, false, false);
    this.kind = kind;
    this.receivedBytes = receivedBytes;
  }

  /** Returns the kind. */
  public Kind kind() {
    return kind;
  }

  /** Returns how much of the response had been received, in bytes. */
  public long receivedBytes() {
    return receivedBytes;
  }
}
