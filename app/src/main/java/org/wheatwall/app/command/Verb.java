package org.wheatwall.app.command;

import java.util.List;
import org.apache.commons.cli.ParseException;

/** A verb (subcommand) of the command line. */
public interface Verb {
  /** Exit code of a verb that succeeded. */
  int DONE = 0;

  /** Exit code of a verb that was refused or failed. */
  int FAILED = 1;

  /** Exit code for invalid arguments. */
  int WRONG_USAGE = 2;

  /** Returns the name as typed on the command line. */
  String name();

  /** Returns a one-line summary for the help text. */
  String summary();

  /**
   * Runs the verb and returns its exit code.
   *
   * @throws ParseException if the arguments are invalid
   */
  int run(List<String> arguments, Console console) throws ParseException;
}
