package org.wheatwall.core.batch.decision;

import java.util.Optional;
import java.util.Set;

/**
 * Where a group of tasks would rather run.
 *
 * @param avoided workers on which the group failed before
 * @param dataRack rack that holds its data
 * @param oneRack whether it is to be kept in one rack
 */
record PlacementPreferences(Set<String> avoided, Optional<String> dataRack, boolean oneRack) {
  /** Any worker will do. */
  static final PlacementPreferences NONE =
      new PlacementPreferences(Set.of(), Optional.empty(), false);

  /** Copies the workers. */
  PlacementPreferences {
    avoided = Set.copyOf(avoided);
  }
}
