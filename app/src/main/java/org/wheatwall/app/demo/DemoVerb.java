package org.wheatwall.app.demo;

import java.util.List;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;

/** Placeholder. */
public final class DemoVerb implements Verb {
  @Override
  public String name() {
    return "demo";
  }

  @Override
  public String summary() {
    return "run everything in one process and show what it does";
  }

  @Override
  public int run(List<String> arguments, Console console) {
    console.err("not built yet");
    return FAILED;
  }
}
