package org.wheatwall.core.configuration.model;

import java.util.List;

/**
 * The state of a replica between two records.
 *
 * @param nextOffset offset of the first record that is not included
 * @param objects all objects and tombstones
 * @param recent verdicts on recent changes, oldest first
 */
public record Snapshot(long nextOffset, List<StoredResource> objects, List<Recent> recent) {
  /** A verdict and the offset of the record that carried its change. */
  public record Recent(long offset, Verdict verdict) {}

  /** Copies the lists. */
  public Snapshot {
    objects = List.copyOf(objects);
    recent = List.copyOf(recent);
  }
}
