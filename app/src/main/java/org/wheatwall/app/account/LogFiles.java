package org.wheatwall.app.account;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.wheatwall.core.common.Refusal;

/** Reads the decision log lines of all entry hosts and sorts them by time. */
final class LogFiles {
  private final List<LogLine> lines = new ArrayList<>();
  private final List<String> unreadable = new ArrayList<>();

  private LogFiles() {}

  /** Reads files; malformed bytes and lines that hold no decision do not affect other lines. */
  static LogFiles read(List<Path> files) {
    LogFiles result = new LogFiles();
    files.forEach(result::readFile);
    result.lines.sort(Comparator.comparingLong(LogLine::atMs));
    return result;
  }

  /** Returns the decision log lines, oldest first. */
  List<LogLine> lines() {
    return lines;
  }

  /** Returns the positions, FILE:LINE, of lines that hold a brace but could not be read. */
  List<String> unreadable() {
    return unreadable;
  }

  private void readFile(Path file) {
    try (BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
      int number = 0;
      for (String text = reader.readLine(); text != null; text = reader.readLine()) {
        number++;
        addLine(text, file, number);
      }
    } catch (IOException | UncheckedIOException e) {
      throw Refusal.invalid(file + " cannot be read: " + e.getMessage(), "name a readable file");
    }
  }

  private void addLine(String text, Path file, int number) {
    LogLine.parse(text, String.valueOf(file.getFileName()))
        .ifPresentOrElse(
            lines::add,
            () -> {
              if (text.contains("{")) {
                unreadable.add(file + ":" + number);
              }
            });
  }
}
