package org.wheatwall.entry.common;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The uptime that the Linux kernel reports in {@code /proc/uptime}: seconds with two decimals, then
 * the idle time. The file stays open, so that each read is a single system call.
 *
 * <p>Not thread-safe.
 */
public final class KernelUptime implements UptimeClock {
  private static final Logger LOG = LoggerFactory.getLogger(KernelUptime.class);
  private static final Path UPTIME_FILE = Path.of("/proc/uptime");
  private static final int MAX_BYTES = 64;
  private static final int MS_PER_SECOND = 1000;
  private static final int MS_PER_HUNDREDTH = 10;

  private final ByteBuffer buffer = ByteBuffer.allocateDirect(MAX_BYTES);
  private Optional<FileChannel> file;

  private KernelUptime(Optional<FileChannel> file) {
    this.file = file;
  }

  /** Opens {@code /proc/uptime}. Without that file, the uptime is always empty. */
  public static KernelUptime open() {
    return open(UPTIME_FILE);
  }

  static KernelUptime open(Path path) {
    try {
      return new KernelUptime(Optional.of(FileChannel.open(path)));
    } catch (IOException e) {
      LOG.atInfo().addKeyValue("file", path).setCause(e).log("uptime-not-shown");
      return new KernelUptime(Optional.empty());
    }
  }

  @Override
  public OptionalLong uptimeMs() {
    if (file.isEmpty()) {
      return OptionalLong.empty();
    }
    try {
      buffer.clear();
      file.get().read(buffer, 0);
      return OptionalLong.of(parse(StandardCharsets.US_ASCII.decode(buffer.flip()).toString()));
    } catch (IOException | NumberFormatException e) {
      LOG.atWarn().setCause(e).log("uptime-not-readable");
      file = Optional.empty();
      return OptionalLong.empty();
    }
  }

  private static long parse(String text) {
    int point = text.indexOf('.');
    int end = text.indexOf(' ');
    if (point < 0 || end != point + 3) {
      throw new NumberFormatException("not an uptime: " + text);
    }
    long seconds = Long.parseLong(text.substring(0, point));
    return seconds * MS_PER_SECOND
        + Long.parseLong(text.substring(point + 1, end)) * MS_PER_HUNDREDTH;
  }
}
