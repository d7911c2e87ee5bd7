package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: one line an event, with the seconds since the start. */
final class Record {
  private final PrintWriter out;
  private final long startedNs = System.nanoTime();

  Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file), true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  long nowMs() {
    return (System.nanoTime() - startedNs) / 1_000_000;
  }

  synchronized void line(String text) {
    out.printf("%8.3f  %s%n", nowMs() / 1000.0, text);
  }
}
