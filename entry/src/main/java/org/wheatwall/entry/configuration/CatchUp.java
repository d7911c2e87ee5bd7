package org.wheatwall.entry.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wheatwall.core.configuration.decision.SnapshotAssembler;
import org.wheatwall.core.configuration.model.Change;
import org.wheatwall.core.configuration.model.Snapshot;
import org.wheatwall.wire.json.LogRecord;

/**
 * Reads the log from its oldest kept record until a whole snapshot is found from which every later
 * record is still there.
 */
final class CatchUp {
  private final long firstOffset;
  private final long minSnapshotOffset;
  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private final List<BufferedChanges> buffered = new ArrayList<>();
  private long position;

  /** Changes read before the snapshot they follow was whole. */
  record BufferedChanges(long offset, List<Change> changes) {}

  /** Where to continue: a snapshot and the changes after it. */
  record Start(Snapshot snapshot, List<BufferedChanges> tail) {}

  /**
   * Creates a reader.
   *
   * @param firstOffset oldest record kept
   * @param notBefore offset below which a snapshot would be a step back
   */
  CatchUp(long firstOffset, long notBefore) {
    this.firstOffset = firstOffset;
    this.minSnapshotOffset = notBefore;
    this.position = firstOffset;
  }

  long position() {
    return position;
  }

  /** Takes in the next record; returns where to continue once that is known. */
  Optional<Start> add(long offset, LogRecord record) {
    position = offset + 1;
    if (record.chunk().isEmpty()) {
      buffered.add(new BufferedChanges(offset, record.changes()));
      return Optional.empty();
    }
    Optional<Snapshot> whole = assembler.add(record.chunk().get());
    boolean usable =
        whole.isPresent()
            && whole.get().nextOffset() >= firstOffset
            && whole.get().nextOffset() >= minSnapshotOffset;
    if (!usable) {
      return Optional.empty();
    }
    long from = whole.get().nextOffset();
    List<BufferedChanges> tail = buffered.stream().filter(entry -> entry.offset() >= from).toList();
    return Optional.of(new Start(whole.get(), tail));
  }
}
