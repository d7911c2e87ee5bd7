package org.wheatwall.app.command;

import java.io.PrintStream;

/** Output and error streams of a verb. */
public record Console(PrintStream output, PrintStream errors) {
  /** Returns the standard streams of the process. */
  public static Console system() {
    return new Console(System.out, System.err);
  }

  /** Writes a line of output. */
  public void out(String line) {
    output.println(line);
  }

  /** Writes a line of error output. */
  public void err(String line) {
    errors.println(line);
  }
}
