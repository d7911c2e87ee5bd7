package org.wheatwall.core.common;

/** Kinds of refusal. Each has one fixed meaning for callers and operators. */
public enum RefusalKind {
  /** The input is malformed or breaks a rule; repeating it unchanged cannot succeed. */
  INVALID("invalid"),
  /** The object changed since the version that the caller named. */
  STALE_VERSION("stale-version"),
  /** The named object does not exist. */
  NOT_FOUND("not-found"),
  /** The requested guarantees cannot all be met by the existing hosts. */
  GUARANTEE_CLASH("guarantee-clash"),
  /** A limit or quota has been reached; the same call may succeed later. */
  LIMIT("limit"),
  /** The input is larger than the limit. */
  TOO_LARGE("too-large"),
  /** Something that the call depends on cannot be reached now. */
  UNAVAILABLE("unavailable"),
  /** The call carried no valid token. */
  UNAUTHENTICATED("unauthenticated"),
  /** The token does not permit the call. */
  FORBIDDEN("forbidden"),
  /** The command was issued under an epoch that a newer one has replaced. */
  FENCED("fenced"),
  /** The effect of the call could not be determined. */
  UNKNOWN("unknown");

  private final String label;

  RefusalKind(String label) {
    this.label = label;
  }

  /** Returns the stable name used in problem documents. */
  public String label() {
    return label;
  }
}
