package org.wheatwall.core.common;

import java.util.Set;

/**
 * Which mechanisms work.
 *
 * @param disabled those that are switched off
 */
public record Mechanisms(Set<Mechanism> disabled) {
  /** All of them. */
  public static final Mechanisms ALL = new Mechanisms(Set.of());

  /** Copies the set. */
  public Mechanisms {
    disabled = Set.copyOf(disabled);
  }

  /** Returns all but one. */
  public static Mechanisms without(Mechanism mechanism) {
    return new Mechanisms(Set.of(mechanism));
  }

  /** Returns whether a mechanism works. */
  public boolean isEnabled(Mechanism mechanism) {
    return !disabled.contains(mechanism);
  }
}
