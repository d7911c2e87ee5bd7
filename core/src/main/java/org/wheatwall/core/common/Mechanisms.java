package org.wheatwall.core.common;

import java.util.Set;

/**
 * Which mechanisms work.
 *
 * @param off those that are switched off
 */
public record Mechanisms(Set<Mechanism> off) {
  /** All of them. */
  public static final Mechanisms ALL = new Mechanisms(Set.of());

  /** Copies the set. */
  public Mechanisms {
    off = Set.copyOf(off);
  }

  /** Returns all but one. */
  public static Mechanisms without(Mechanism mechanism) {
    return new Mechanisms(Set.of(mechanism));
  }

  /** Returns whether a mechanism works. */
  public boolean on(Mechanism mechanism) {
    return !off.contains(mechanism);
  }
}
