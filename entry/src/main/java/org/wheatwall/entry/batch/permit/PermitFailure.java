package org.wheatwall.entry.batch.permit;

/** Thrown when a permit request got no response; the request may be retried. */
public final class PermitFailure extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates the failure. */
  public PermitFailure(String message) {
    super(message);
  }
}
