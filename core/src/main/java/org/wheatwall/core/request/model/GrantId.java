package org.wheatwall.core.request.model;

/**
 * Identifier of one leave to run a step.
 *
 * @param owner the request that asked for it
 * @param sequence number of the ask; a request that asks again has given up its earlier asks
 */
public record GrantId(String owner, int sequence) {
  private static final char SEPARATOR = '#';

  /** Returns whether this leave takes the place of {@code earlier}. */
  public boolean supersedes(GrantId earlier) {
    return owner.equals(earlier.owner) && sequence > earlier.sequence;
  }

  /** Returns text that {@link #parse} reads. */
  public String text() {
    return owner + SEPARATOR + sequence;
  }

  /** Reads text; text of another form is an owner with one ask. */
  public static GrantId parse(String text) {
    int at = text.lastIndexOf(SEPARATOR);
    try {
      return new GrantId(
          text.substring(0, Math.max(0, at)), Integer.parseInt(text.substring(at + 1)));
    } catch (NumberFormatException e) {
      return new GrantId(text, 0);
    }
  }
}
