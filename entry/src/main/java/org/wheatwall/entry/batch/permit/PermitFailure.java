package org.wheatwall.entry.batch.permit;

/** A question for permits that got no answer; asking again does no harm. */
public final class PermitFailure extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates the failure. */
  public PermitFailure(String message) {
    super(message);
  }
}
