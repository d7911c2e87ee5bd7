package org.wheatwall.app.demo;

import com.google.errorprone.annotations.FormatMethod;
import org.wheatwall.app.command.Console;

/** Prints what the demo does and remembers whether every promise held. */
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

  /** Notes a promise, held or broken. */
  @FormatMethod
  void check(boolean held, String format, Object... values) {
    console.out((held ? "   held    " : "   BROKEN  ") + String.format(format, values));
    if (!held) {
      failures++;
    }
  }

  int failures() {
    return failures;
  }
}
