package org.wheatwall.app.demo;

import com.google.errorprone.annotations.FormatMethod;
import org.wheatwall.app.command.Console;

/** Prints the progress of the demo and counts failed checks. */
final class DemoReport {
  private final Console console;
  private int failures;

  DemoReport(Console console) {
    this.console = console;
  }

  void step(String text) {
    console.out("");
    console.out("== " + text);
  }

  @FormatMethod
  void print(String format, Object... values) {
    console.out("   " + String.format(format, values));
  }

  /** Prints the result of a check and counts it if it failed. */
  @FormatMethod
  void check(boolean passed, String format, Object... values) {
    console.out((passed ? "   passed  " : "   FAILED  ") + String.format(format, values));
    if (!passed) {
      failures++;
    }
  }

  int failures() {
    return failures;
  }
}
