package org.wheatwall.app.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * How long a process was suspended in all, told by the run that suspends it. It is mapped, so that
 * a process that goes on reads it before it reads its clock.
 */
final class SuspensionFile {
  private final MappedByteBuffer mapped;

  /** Opens a file, or makes it. */
  SuspensionFile(Path path) {
    try (FileChannel file =
        FileChannel.open(
            path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      mapped = file.map(FileChannel.MapMode.READ_WRITE, 0, Long.BYTES);
    } catch (IOException e) {
      throw new UncheckedIOException("the file of suspensions cannot be mapped", e);
    }
  }

  /** Returns the time that the steady clock has not seen, nanoseconds. */
  long suspendedNanos() {
    return mapped.getLong(0);
  }

  /** Adds to that time. */
  void add(long nanos) {
    mapped.putLong(0, suspendedNanos() + nanos);
  }
}
