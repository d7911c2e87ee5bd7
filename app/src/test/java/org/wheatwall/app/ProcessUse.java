package org.wheatwall.app;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Reads what a process uses from {@code /proc}. */
final class ProcessUse {
  /** Memory of the machine of an entry host, MB. */
  private static final long MACHINE_MEMORY_MB = 430;

  /** Descriptors of a process on that machine that are left for sockets. */
  private static final long MACHINE_SOCKETS = 3900;

  private static final long KB_PER_MB = 1024;

  private ProcessUse() {}

  /** Asserts that a process runs and has stayed within its machine. */
  static void assertWithinMachine(Process process) throws IOException {
    assertWithMessage("the process runs").that(process.isAlive()).isTrue();
    assertWithMessage("largest resident memory, MB")
        .that(peakMemoryMb(process.pid()))
        .isAtMost(MACHINE_MEMORY_MB);
    assertWithMessage("open descriptors")
        .that(descriptors(process.pid()))
        .isAtMost(MACHINE_SOCKETS);
  }

  private static long peakMemoryMb(long pid) throws IOException {
    try (Stream<String> lines = Files.lines(Path.of("/proc", String.valueOf(pid), "status"))) {
      String peak = lines.filter(line -> line.startsWith("VmHWM:")).findFirst().orElseThrow();
      return Long.parseLong(peak.replaceAll("\\D", "")) / KB_PER_MB;
    }
  }

  private static long descriptors(long pid) throws IOException {
    try (Stream<Path> open = Files.list(Path.of("/proc", String.valueOf(pid), "fd"))) {
      return open.count();
    }
  }
}
