package org.wheatwall.core.batch.model;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * One incarnation of a worker, from the start of its process to its end. A worker may restart under
 * its identifier; it then runs no tasks and knows nothing of the previous incarnation.
 *
 * @param id identifier of the worker
 * @param startedAtMs start of this incarnation, Unix milliseconds; empty if unknown, which counts
 *     as earlier than any time
 */
public record WorkerIncarnation(String id, OptionalLong startedAtMs) {
  private static final String SEPARATOR = "..";

  /** Validates. */
  public WorkerIncarnation {
    Objects.requireNonNull(id);
    Objects.requireNonNull(startedAtMs);
  }

  /** Returns the incarnation of a worker that started at a time. */
  public static WorkerIncarnation startedAt(String id, long startedAtMs) {
    return new WorkerIncarnation(id, OptionalLong.of(startedAtMs));
  }

  /** Parses the result of {@link #name}; any other text is taken as the identifier of a worker. */
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

  /** Returns the unique name of this incarnation. */
  public String name() {
    return startedAtMs.isPresent() ? id + SEPARATOR + startedAtMs.getAsLong() : id;
  }

  /** Returns whether another incarnation is of the same worker and started after this one. */
  public boolean precedes(WorkerIncarnation other) {
    return id.equals(other.id)
        && other.startedAtMs.isPresent()
        && (startedAtMs.isEmpty() || startedAtMs.getAsLong() < other.startedAtMs.getAsLong());
  }
}
