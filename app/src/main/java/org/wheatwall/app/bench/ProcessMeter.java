package org.wheatwall.app.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.wheatwall.core.common.Refusal;

/** Measures resident memory and processor time of another process through Linux's /proc. */
final class ProcessMeter {
  private static final double TICKS_PER_SECOND = 100;
  private static final int USER_TICKS_FIELD = 11;
  private static final int SYSTEM_TICKS_FIELD = 12;

  private ProcessMeter() {}

  /** Measures process {@code pid} for {@code seconds} and returns a line of metrics. */
  static String measure(int pid, int seconds) throws InterruptedException {
    long before = ticks(pid);
    Thread.sleep(seconds * 1000L);
    double percent = (ticks(pid) - before) / TICKS_PER_SECOND / seconds * 100;
    return String.format(
        Locale.ROOT,
        "resident %.1f MB, %.2f%% of a core over %d s",
        residentKilobytes(pid) / 1024.0,
        percent,
        seconds);
  }

  private static long ticks(int pid) {
    String stat = read(Path.of("/proc/" + pid + "/stat"));
    // The command name is in parentheses and may contain spaces, so fields are counted after it.
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
    return Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
  }

  private static long residentKilobytes(int pid) {
    List<String> lines = read(Path.of("/proc/" + pid + "/status")).lines().toList();
    for (String line : lines) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("[^0-9]", ""));
      }
    }
    return 0;
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw Refusal.invalid("process cannot be read: " + e, "give the number of a live process");
    }
  }
}
