package org.wheatwall.core.batch.model;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * One life of a worker: from a start of its process to its end. A worker may start again under its
 * identifier; it then holds nothing and knows nothing of the life before.
 *
 * @param id identifier of the worker
 * @param startedAtMs when this life began, Unix milliseconds; empty if it is not known, which
 *     counts as earlier than any time
 */
public record WorkerIncarnation(String id, OptionalLong startedAtMs) {
  private static final String SEPARATOR = "..";

  /** Validates. */
  public WorkerIncarnation {
    Objects.requireNonNull(id);
    Objects.requireNonNull(startedAtMs);
  }

  /** Returns the life of a worker that began at a time. */
  public static WorkerIncarnation startedAt(String id, long bornMs) {
    return new WorkerIncarnation(id, OptionalLong.of(bornMs));
  }

  /** Reads what {@link #name} gives; any other text is the identifier of a worker. */
  public static WorkerIncarnation parse(String name) {
    int separator = name.lastIndexOf(SEPARATOR);
    if (separator < 0) {
      return new WorkerIncarnation(name, OptionalLong.empty());
    }
    try {
      return startedAt(
          name.substring(0, separator),
          Long.parseLong(name.substring(separator + SEPARATOR.length())));
    } catch (NumberFormatException e) {
      return new WorkerIncarnation(name, OptionalLong.empty());
    }
  }

  /** Returns the name by which this life is told from all others. */
  public String name() {
    return startedAtMs.isPresent() ? id + SEPARATOR + startedAtMs.getAsLong() : id;
  }

  /** Returns whether another life of the same worker began after this one. */
  public boolean precedes(WorkerIncarnation other) {
    return id.equals(other.id)
        && other.startedAtMs.isPresent()
        && (startedAtMs.isEmpty() || startedAtMs.getAsLong() < other.startedAtMs.getAsLong());
  }
}
