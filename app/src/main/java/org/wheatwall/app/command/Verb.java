package org.wheatwall.app.command;

import java.util.List;
import org.apache.commons.cli.ParseException;

/** One verb of the command line. */
public interface Verb {
  /** Exit code of a verb that did what was asked. */
  int DONE = 0;

  /** Exit code of a verb that was refused or failed. */
  int FAILED = 1;

  /** Exit code for wrong usage. */
  int WRONG_USAGE = 2;

  /** Returns the name. */
  String name();

  /** Returns what it does, in a line. */
  String summary();

  /** Runs the verb and returns its exit code. */
  int run(List<String> arguments, Console console) throws ParseException;
}
