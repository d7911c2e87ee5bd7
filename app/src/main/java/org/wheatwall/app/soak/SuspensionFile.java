package org.wheatwall.app.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The total time for which a process was suspended, written by the soak that suspends it. The file
 * is memory-mapped, so that a resumed process sees the new value before it reads its clock.
 */
final class SuspensionFile {
  private final MappedByteBuffer mapped;

  /** Opens a file, or creates it. */
  SuspensionFile(Path path) {
    try (FileChannel file =
        FileChannel.open(
            path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      mapped = file.map(FileChannel.MapMode.READ_WRITE, 0, Long.BYTES);
    } catch (IOException e) {
      throw new UncheckedIOException("the suspension file cannot be mapped", e);
    }
  }

  /** Returns the total suspended time, nanoseconds. */
  long suspendedNanos() {
    return mapped.getLong(0);
  }

  /** Adds a suspension, nanoseconds. */
  void add(long nanos) {
    mapped.putLong(0, suspendedNanos() + nanos);
  }
}
