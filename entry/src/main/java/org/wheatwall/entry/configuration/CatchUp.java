package org.wheatwall.entry.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wheatwall.core.configuration.decision.SnapshotAssembler;
import org.wheatwall.core.configuration.model.Change;
import org.wheatwall.core.configuration.model.Snapshot;
import org.wheatwall.wire.json.LogRecord;

/**
 * Reads the log from its oldest retained record until it finds a complete snapshot after which the
 * log still has every record.
 */
final class CatchUp {
  private final long firstOffset;
  private final long minSnapshotOffset;
  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private final List<BufferedChanges> buffered = new ArrayList<>();
  private long position;

  /** Changes that were read before the snapshot they follow was complete. */
  record BufferedChanges(long offset, List<Change> changes) {}

  /** The state from which replay starts: a snapshot and the changes after it. */
  record Start(Snapshot snapshot, List<BufferedChanges> tail) {}

  /**
   * Creates a reader.
   *
   * @param firstOffset offset of the oldest retained record
   * @param minSnapshotOffset lowest offset of a usable snapshot; an older one would undo replayed
   *     changes
   */
  CatchUp(long firstOffset, long minSnapshotOffset) {
    this.firstOffset = firstOffset;
    this.minSnapshotOffset = minSnapshotOffset;
    this.position = firstOffset;
  }

  long position() {
    return position;
  }

  /** Processes the next record; returns where replay starts once a usable snapshot is complete. */
  Optional<Start> add(long offset, LogRecord record) {
    position = offset + 1;
    if (record.chunk().isEmpty()) {
      buffered.add(new BufferedChanges(offset, record.changes()));
      return Optional.empty();
    }
    Optional<Snapshot> snapshot = assembler.add(record.chunk().get());
    boolean usable =
        snapshot.isPresent()
            && snapshot.get().nextOffset() >= firstOffset
            && snapshot.get().nextOffset() >= minSnapshotOffset;
    if (!usable) {
      return Optional.empty();
    }
    long tailOffset = snapshot.get().nextOffset();
    List<BufferedChanges> tail =
        buffered.stream().filter(entry -> entry.offset() >= tailOffset).toList();
    return Optional.of(new Start(snapshot.get(), tail));
  }
}
