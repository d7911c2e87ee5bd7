package org.wheatwall.core.request.model;

/**
 * Identifier of one grant, the permission to run a step.
 *
 * @param owner identifier of the request that asked for the grant
 * @param sequence number of the grant within the request; a later one supersedes the earlier ones
 */
public record GrantId(String owner, int sequence) {
  private static final char SEPARATOR = '#';

  /** Returns whether this grant supersedes {@code earlier}. */
  public boolean supersedes(GrantId earlier) {
    return owner.equals(earlier.owner) && sequence > earlier.sequence;
  }

  /** Returns text that {@link #parse} accepts. */
  public String text() {
    return owner + SEPARATOR + sequence;
  }

  /** Parses {@code text}; text in another format becomes the owner, with sequence 0. */
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
