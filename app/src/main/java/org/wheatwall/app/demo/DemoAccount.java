package org.wheatwall.app.demo;

import com.google.errorprone.annotations.FormatMethod;
import org.wheatwall.app.command.Console;

/** Prints what the demo does and remembers whether every promise held. */
final class DemoAccount {
  private final Console console;
  private int broken;

  DemoAccount(Console console) {
    this.console = console;
  }

  void step(String text) {
    console.out("");
    console.out("== " + text);
  }

  @FormatMethod
  void tell(String format, Object... values) {
    console.out("   " + String.format(format, values));
  }

  /** Notes a promise, held or broken. */
  @FormatMethod
  void promise(boolean held, String format, Object... values) {
    console.out((held ? "   held    " : "   BROKEN  ") + String.format(format, values));
    if (!held) {
      broken++;
    }
  }

  int broken() {
    return broken;
  }
}
