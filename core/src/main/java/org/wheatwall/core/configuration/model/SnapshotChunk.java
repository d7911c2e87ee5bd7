package org.wheatwall.core.configuration.model;

import org.wheatwall.core.common.Refusal;

/**
 * One part of a snapshot, as stored in the log.
 *
 * @param snapshotId identifier of the snapshot, the same in all its chunks
 * @param index position of this chunk, from 0
 * @param count number of chunks
 * @param part the objects and verdicts of this chunk
 */
public record SnapshotChunk(String snapshotId, int index, int count, Snapshot part) {
  /** Validates the position. */
  public SnapshotChunk {
    if (count < 1 || index < 0 || index >= count) {
      throw Refusal.invalid(
          "snapshot chunk " + index + " of " + count, "discard the snapshot; it is damaged");
    }
  }
}
