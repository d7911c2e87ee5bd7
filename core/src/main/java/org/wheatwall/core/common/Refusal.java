package org.wheatwall.core.common;

import java.util.Objects;

/** A typed failure that states what was refused and what the caller can do about it. */
public final class Refusal extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final RefusalKind kind;
  private final String detail;
  private final String remedy;

  /** Creates a refusal whose message is the detail followed by the remedy. */
  public Refusal(RefusalKind kind, String detail, String remedy) {
    // Refusals are frequent under load, so no stack trace is recorded.
    super(detail + "; remedy: " + remedy, null, false, false);
    this.kind = Objects.requireNonNull(kind);
    this.detail = detail;
    this.remedy = remedy;
  }

  /** Returns a refusal of kind {@link RefusalKind#INVALID}. */
  public static Refusal invalid(String detail, String remedy) {
    return new Refusal(RefusalKind.INVALID, detail, remedy);
  }

  /** Returns the kind. */
  public RefusalKind kind() {
    return kind;
  }

  /** Returns what was refused and why, without the remedy. */
  public String detail() {
    return detail;
  }

  /** Returns what the caller can do about it. */
  public String remedy() {
    return remedy;
  }
}
