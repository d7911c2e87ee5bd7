package org.wheatwall.core.batch.decision;

import java.util.Optional;
import java.util.Set;

/**
 * Placement preferences of a group of tasks.
 *
 * @param avoided workers on which the group has failed
 * @param dataRack rack that holds the group's data
 * @param oneRack whether the group should be placed in one rack
 */
record PlacementPreferences(Set<String> avoided, Optional<String> dataRack, boolean oneRack) {
  /** No preferences: any worker is suitable. */
  static final PlacementPreferences NONE =
      new PlacementPreferences(Set.of(), Optional.empty(), false);

  /** Copies the set of workers. */
  PlacementPreferences {
    avoided = Set.copyOf(avoided);
  }
}
