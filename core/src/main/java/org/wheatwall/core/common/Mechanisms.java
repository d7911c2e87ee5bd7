package org.wheatwall.core.common;

import java.util.Set;

/**
 * The set of enabled scheduling mechanisms.
 *
 * @param disabled the disabled mechanisms
 */
public record Mechanisms(Set<Mechanism> disabled) {
  /** All mechanisms enabled. */
  public static final Mechanisms ALL = new Mechanisms(Set.of());

  /** Copies the set. */
  public Mechanisms {
    disabled = Set.copyOf(disabled);
  }

  /** Returns all mechanisms but one. */
  public static Mechanisms without(Mechanism mechanism) {
    return new Mechanisms(Set.of(mechanism));
  }

  /** Returns whether a mechanism is enabled. */
  public boolean isEnabled(Mechanism mechanism) {
    return !disabled.contains(mechanism);
  }
}
