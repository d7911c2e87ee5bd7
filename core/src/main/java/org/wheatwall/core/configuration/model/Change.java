package org.wheatwall.core.configuration.model;

import java.util.Objects;
import java.util.Optional;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.Resource;

/**
 * One proposed change of one object, as stored in the log.
 *
 * @param changeId identifier chosen by the proposer; the same whenever this proposal is repeated
 * @param baseVersion version that the proposer read, 0 if it found no such object
 * @param asOf offset up to which the proposer had replayed the log
 * @param value new content, empty to delete
 * @param capacity capacity known to the proposer, for changes that are checked against it
 */
public record Change(
    String changeId,
    ResourceKey key,
    long baseVersion,
    long asOf,
    Optional<Resource> value,
    Optional<CapacitySummary> capacity) {
  /** Validates identifier and versions. */
  public Change {
    Objects.requireNonNull(key);
    if (changeId == null || changeId.isEmpty() || changeId.length() > 64) {
      throw Refusal.invalid("change identifier is missing or too long", "use 1 to 64 characters");
    }
    if (baseVersion < 0 || asOf < -1) {
      throw Refusal.invalid("negative version in a change", "use the version that a read returned");
    }
  }
}
