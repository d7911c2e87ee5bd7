package org.wheatwall.wire.json;

import java.util.List;
import java.util.Optional;
import org.wheatwall.core.configuration.model.Change;
import org.wheatwall.core.configuration.model.SnapshotChunk;

/**
 * A record of the configuration stream: either changes or a part of a snapshot.
 *
 * @param changes proposed changes, in order
 * @param chunk part of a snapshot
 */
public record LogRecord(List<Change> changes, Optional<SnapshotChunk> chunk) {
  /** Copies the list. */
  public LogRecord {
    changes = List.copyOf(changes);
  }

  /** Returns a record of changes. */
  public static LogRecord ofChanges(List<Change> changes) {
    return new LogRecord(changes, Optional.empty());
  }

  /** Returns a record with a part of a snapshot. */
  public static LogRecord ofChunk(SnapshotChunk chunk) {
    return new LogRecord(List.of(), Optional.of(chunk));
  }
}
