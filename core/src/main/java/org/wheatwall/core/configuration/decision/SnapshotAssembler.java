package org.wheatwall.core.configuration.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wheatwall.core.configuration.model.Snapshot;
import org.wheatwall.core.configuration.model.SnapshotChunk;
import org.wheatwall.core.configuration.model.StoredResource;

/** Collects snapshot chunks from the log and keeps the newest complete snapshot. */
public final class SnapshotAssembler {
  /** Maximum number of objects in one chunk; keeps a record well below the log's size limit. */
  public static final int OBJECTS_PER_CHUNK = 200;

  private static final int MAX_PARTIAL = 8;

  private final Map<String, SnapshotChunk[]> partial = new HashMap<>();
  private Snapshot newest;

  /**
   * Adds one chunk; returns the snapshot if this chunk completes one that is newer than all earlier
   * ones.
   */
  public Optional<Snapshot> add(SnapshotChunk chunk) {
    if (newest != null && chunk.part().nextOffset() <= newest.nextOffset()) {
      return Optional.empty();
    }
    SnapshotChunk[] chunks =
        partial.computeIfAbsent(chunk.snapshotId(), id -> new SnapshotChunk[chunk.count()]);
    if (chunks.length != chunk.count()) {
      partial.remove(chunk.snapshotId());
      return Optional.empty();
    }
    chunks[chunk.index()] = chunk;
    if (Arrays.stream(chunks).anyMatch(part -> part == null)) {
      dropOldestPartial();
      return Optional.empty();
    }
    partial.remove(chunk.snapshotId());
    newest = join(chunks);
    partial.values().removeIf(parts -> isOlder(parts, newest.nextOffset()));
    return Optional.of(newest);
  }

  /** Returns the next offset after the newest complete snapshot, empty if there is none. */
  public Optional<Long> newestOffset() {
    return Optional.ofNullable(newest).map(Snapshot::nextOffset);
  }

  /** Splits {@code snapshot} into chunks, at least one. */
  public static List<SnapshotChunk> split(String snapshotId, Snapshot snapshot) {
    int objects = snapshot.objects().size();
    int recent = snapshot.recent().size();
    int count =
        Math.max(1, (Math.max(objects, recent) + OBJECTS_PER_CHUNK - 1) / OBJECTS_PER_CHUNK);
    List<SnapshotChunk> chunks = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      Snapshot part =
          new Snapshot(
              snapshot.nextOffset(), slice(snapshot.objects(), i), slice(snapshot.recent(), i));
      chunks.add(new SnapshotChunk(snapshotId, i, count, part));
    }
    return chunks;
  }

  private static <T> List<T> slice(List<T> all, int index) {
    int from = Math.min(all.size(), index * OBJECTS_PER_CHUNK);
    int to = Math.min(all.size(), from + OBJECTS_PER_CHUNK);
    return all.subList(from, to);
  }

  private static Snapshot join(SnapshotChunk[] chunks) {
    List<StoredResource> objects = new ArrayList<>();
    List<Snapshot.Recent> recent = new ArrayList<>();
    for (SnapshotChunk chunk : chunks) {
      objects.addAll(chunk.part().objects());
      recent.addAll(chunk.part().recent());
    }
    return new Snapshot(chunks[0].part().nextOffset(), objects, recent);
  }

  private static boolean isOlder(SnapshotChunk[] parts, long offset) {
    for (SnapshotChunk part : parts) {
      if (part != null) {
        return part.part().nextOffset() <= offset;
      }
    }
    return true;
  }

  private void dropOldestPartial() {
    if (partial.size() <= MAX_PARTIAL) {
      return;
    }
    String oldest = null;
    long oldestOffset = Long.MAX_VALUE;
    for (Map.Entry<String, SnapshotChunk[]> entry : partial.entrySet()) {
      for (SnapshotChunk part : entry.getValue()) {
        if (part != null && part.part().nextOffset() < oldestOffset) {
          oldestOffset = part.part().nextOffset();
          oldest = entry.getKey();
        }
      }
    }
    partial.remove(oldest);
  }
}
