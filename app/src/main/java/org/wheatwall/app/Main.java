package org.wheatwall.app;

import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.Verbs;
import org.wheatwall.core.common.Refusal;

/** Entry point of the executable; the first argument is the verb. */
public final class Main {
  private Main() {}

  /** Runs a verb and exits with its code: 0 success, 1 refused or failed, 2 invalid arguments. */
  public static void main(String[] args) {
    int code = run(Arrays.asList(args), Console.system());
    System.exit(code);
  }

  /** Runs a verb and returns its exit code. */
  public static int run(List<String> args, Console console) {
    if (args.isEmpty() || args.get(0).equals("--help") || args.get(0).equals("help")) {
      console.out(Verbs.help());
      return args.isEmpty() ? Verb.WRONG_USAGE : Verb.DONE;
    }
    Verb verb = Verbs.find(args.get(0)).orElse(null);
    if (verb == null) {
      console.err("wheatwall: unknown verb " + args.get(0) + "; see wheatwall --help");
      return Verb.WRONG_USAGE;
    }
    try {
      return verb.run(args.subList(1, args.size()), console);
    } catch (ParseException e) {
      console.err("wheatwall " + verb.name() + ": " + e.getMessage() + "; see --help");
      return Verb.WRONG_USAGE;
    } catch (Refusal refusal) {
      console.err("wheatwall " + verb.name() + ": " + refusal.getMessage());
      return Verb.FAILED;
    }
  }
}
