package org.wheatwall.app.command;

import java.io.PrintStream;

/** Where a verb writes. */
public record Console(PrintStream output, PrintStream errors) {
  /** Returns the process's own streams. */
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
