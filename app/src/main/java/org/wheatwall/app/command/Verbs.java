package org.wheatwall.app.command;

import java.util.List;
import java.util.Optional;
import org.wheatwall.app.account.AccountVerb;
import org.wheatwall.app.bench.BenchVerb;
import org.wheatwall.app.compare.CompareVerb;
import org.wheatwall.app.demo.DemoVerb;
import org.wheatwall.app.load.LoadVerb;
import org.wheatwall.app.operator.ApplyVerb;
import org.wheatwall.app.operator.CancelVerb;
import org.wheatwall.app.operator.DeleteVerb;
import org.wheatwall.app.operator.DumpVerb;
import org.wheatwall.app.operator.ExplainVerb;
import org.wheatwall.app.operator.GetVerb;
import org.wheatwall.app.process.CheckVerb;
import org.wheatwall.app.process.EntryVerb;
import org.wheatwall.app.process.RehearseVerb;
import org.wheatwall.app.process.ServeVerb;
import org.wheatwall.app.process.StandInVerb;
import org.wheatwall.app.soak.SoakVerb;

/** The verbs of the command line. */
public final class Verbs {
  private static final List<Verb> ALL =
      List.of(
          new EntryVerb(),
          new ServeVerb(),
          new RehearseVerb(),
          new CheckVerb(),
          new StandInVerb(),
          new DemoVerb(),
          new GetVerb(),
          new ApplyVerb(),
          new DeleteVerb(),
          new CancelVerb(),
          new ExplainVerb(),
          new DumpVerb(),
          new LoadVerb(),
          new CompareVerb(),
          new BenchVerb(),
          new AccountVerb(),
          new SoakVerb());

  private Verbs() {}

  /** Returns the verb with this name. */
  public static Optional<Verb> find(String name) {
    return ALL.stream().filter(verb -> verb.name().equals(name)).findFirst();
  }

  /** Returns the help text, which lists all verbs. */
  public static String help() {
    StringBuilder help = new StringBuilder("usage: wheatwall VERB [OPTIONS]\n\n");
    for (Verb verb : ALL) {
      help.append(String.format("  %-9s %s%n", verb.name(), verb.summary()));
    }
    return help.append("\nwheatwall VERB --help shows the options of a verb.").toString();
  }
}
