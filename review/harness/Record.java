package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line for each thing that was sent, answered or run, with its time. */
final class Record implements AutoCloseable {
  private static final double NANOS_PER_SECOND = 1e9;

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the seconds since the start of the run. */
  double seconds() {
    return (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
  }

  /** Writes a line with the current time. */
  synchronized void line(String format, Object... arguments) {
    String text = String.format(Locale.ROOT, format, arguments);
    out.println(String.format(Locale.ROOT, "%8.3f  %s", seconds(), text));
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
