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

/** Reads what entry hosts wrote, of all hosts and in the order of time. */
final class LogFiles {
  private final List<LogLine> lines = new ArrayList<>();
  private final List<String> unreadable = new ArrayList<>();

  private LogFiles() {}

  /** Reads files; bytes that are no text and lines that are no decision harm no other line. */
  static LogFiles read(List<Path> files) {
    LogFiles result = new LogFiles();
    files.forEach(result::readFile);
    result.lines.sort(Comparator.comparingLong(LogLine::atMs));
    return result;
  }

  /** Returns the decisions, oldest first. */
  List<LogLine> lines() {
    return lines;
  }

  /** Returns where a line with a brace could not be read, as file and number. */
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
        take(text, file, number);
      }
    } catch (IOException | UncheckedIOException e) {
      throw Refusal.invalid(file + " cannot be read: " + e.getMessage(), "name a readable file");
    }
  }

  private void take(String text, Path file, int number) {
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
