package org.wheatwall.app.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** The output of the processes of a run. */
final class ProcessLogs {
  private static final Pattern JOB = Pattern.compile("\\b[0-9a-f]{16}\\b");
  private static final int MAX_LINES = 200;
  private static final int MAX_LINE_LENGTH = 600;

  private final Path folder;

  ProcessLogs(Path folder) {
    this.folder = folder;
  }

  /**
   * Returns the lines that name a job of a violation, and the changes of terms, in the order of
   * their hosts; at most {@value #MAX_LINES}.
   */
  List<String> linesAbout(List<Violation> violations) {
    TreeSet<String> wanted = new TreeSet<>(List.of("\"term-won\"", "\"term-lost\""));
    for (Violation violation : violations) {
      Matcher jobs = JOB.matcher(violation.detail());
      while (jobs.find()) {
        wanted.add(jobs.group());
      }
    }
    List<String> found = new ArrayList<>();
    for (Path file : logFiles()) {
      linesOf(file)
          .filter(line -> wanted.stream().anyMatch(line::contains))
          .limit(MAX_LINES - found.size())
          .forEach(line -> found.add(file.getFileName() + " " + shortened(line)));
    }
    return found;
  }

  private List<Path> logFiles() {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(file -> file.toString().endsWith(".log")).sorted().toList();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  // A process that was killed may have left a part of a character.
  private static Stream<String> linesOf(Path file) {
    try {
      return new String(Files.readAllBytes(file), StandardCharsets.ISO_8859_1).lines();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String shortened(String line) {
    return line.substring(0, Math.min(MAX_LINE_LENGTH, line.length()));
  }
}
