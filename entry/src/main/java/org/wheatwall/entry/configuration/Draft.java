package org.wheatwall.entry.configuration;

import java.util.Optional;
import org.wheatwall.core.common.Resource;
import org.wheatwall.core.configuration.model.CapacitySummary;
import org.wheatwall.core.configuration.model.ResourceKey;

/**
 * A change that this host wants to publish.
 *
 * @param baseVersion version the change is based on, 0 if there was no such object
 * @param value new content, empty to delete
 */
public record Draft(
    ResourceKey key,
    long baseVersion,
    Optional<Resource> value,
    Optional<CapacitySummary> capacity,
    Priority priority) {
  /** Order in which changes are appended when appends are limited. */
  public enum Priority {
    VIEW,
    OPERATOR,
    JOB
  }

  /** Returns a draft without a capacity summary. */
  public static Draft of(
      ResourceKey key, long baseVersion, Optional<Resource> value, Priority priority) {
    return new Draft(key, baseVersion, value, Optional.empty(), priority);
  }
}
