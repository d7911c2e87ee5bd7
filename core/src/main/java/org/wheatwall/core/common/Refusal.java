package org.wheatwall.core.common;

import java.util.Objects;
import java.util.OptionalInt;

/** A typed failure that states what was refused and what the caller can do about it. */
public final class Refusal extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final RefusalKind kind;
  private final String detail;
  private final String remedy;
  private final int retryAfterSeconds;

  /** Creates a refusal whose message is the detail followed by the remedy. */
  public Refusal(RefusalKind kind, String detail, String remedy) {
    this(kind, detail, remedy, 0);
  }

  private Refusal(RefusalKind kind, String detail, String remedy, int retryAfterSeconds) {
    // Refusals are frequent under load, so no stack trace is recorded.
    super(detail + "; remedy: " + remedy, null, false, false);
    this.kind = Objects.requireNonNull(kind);
    this.detail = detail;
    this.remedy = remedy;
    this.retryAfterSeconds = retryAfterSeconds;
  }

  /** Returns a refusal of kind {@link RefusalKind#INVALID}. */
  public static Refusal invalid(String detail, String remedy) {
    return new Refusal(RefusalKind.INVALID, detail, remedy);
  }

  /** Returns this refusal with the time after which the caller should retry. */
  public Refusal retryAfter(int seconds) {
    return new Refusal(kind, detail, remedy, seconds);
  }

  /** Returns the seconds after which the caller should retry; empty if none are known. */
  public OptionalInt retryAfterSeconds() {
    return retryAfterSeconds > 0 ? OptionalInt.of(retryAfterSeconds) : OptionalInt.empty();
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
