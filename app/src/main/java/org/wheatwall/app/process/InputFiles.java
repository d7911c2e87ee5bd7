package org.wheatwall.app.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.wheatwall.core.common.Refusal;

/** Reads files named on the command line. */
public final class InputFiles {
  private InputFiles() {}

  /**
   * Returns the content of a file.
   *
   * @throws Refusal of kind INVALID if the file cannot be read
   */
  public static String read(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw Refusal.invalid(
          "file " + file + " cannot be read: " + e.getMessage(), "check the path and its rights");
    }
  }
}
