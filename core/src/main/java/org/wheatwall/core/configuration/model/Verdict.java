package org.wheatwall.core.configuration.model;

import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;

/**
 * The outcome of one change, identical on every replica.
 *
 * @param version version of the object after an accepted change, otherwise the version in force
 */
public record Verdict(String changeId, Decision decision, long version, String detail) {
  /** The decisions on a change. */
  public enum Decision {
    ACCEPTED,
    STALE_VERSION,
    TOO_OLD,
    GUARANTEE_CLASH,
    INVALID
  }

  /** Returns whether the change was accepted. */
  public boolean accepted() {
    return decision == Decision.ACCEPTED;
  }

  /** Returns the refusal to report to the operator whose change was not accepted. */
  public Refusal toRefusal() {
    return switch (decision) {
      case ACCEPTED -> throw new IllegalStateException("an accepted change has no refusal");
      case STALE_VERSION ->
          new Refusal(
              RefusalKind.STALE_VERSION,
              detail,
              "read the object again, apply your edit to version " + version + " and repeat");
      case TOO_OLD ->
          new Refusal(RefusalKind.STALE_VERSION, detail, "read the object again and repeat");
      case GUARANTEE_CLASH ->
          new Refusal(
              RefusalKind.GUARANTEE_CLASH,
              detail,
              "lower one of the named shapes or add hosts to the availability zone");
      case INVALID -> Refusal.invalid(detail, "correct the object and repeat");
    };
  }
}
