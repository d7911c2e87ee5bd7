package org.wheatwall.app.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.wheatwall.core.common.Refusal;

/** Writes the output files of verbs. */
public final class OutputFiles {
  private OutputFiles() {}

  /**
   * Writes lines to a file.
   *
   * @throws Refusal of kind INVALID if the file cannot be written
   */
  public static void write(String file, List<String> lines) {
    try {
      Files.write(Path.of(file), lines);
    } catch (IOException e) {
      throw Refusal.invalid(file + " cannot be written: " + e, "name a file that can be written");
    }
  }
}
