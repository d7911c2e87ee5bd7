package org.wheatwall.wire.http;

/**
 * Time limits of a call, milliseconds. A response that is being received is not given up while it
 * makes progress: the next attempt would have to receive all of it again.
 *
 * @param responseMs from sending the request to the first byte of the response
 * @param progressMs between two receptions of bytes of the response
 * @param totalMs from sending the request to the end of the response
 */
public record CallTimeout(long responseMs, long progressMs, long totalMs) {
  /** Validates the limits. */
  public CallTimeout {
    if (responseMs <= 0 || progressMs <= 0 || totalMs < responseMs) {
      throw new IllegalArgumentException(
          "limits must be positive and the total not below that of the first byte");
    }
  }

  /** Returns limits of which only the total matters. */
  public static CallTimeout ofTotal(long totalMs) {
    return new CallTimeout(totalMs, totalMs, totalMs);
  }
}
