package org.wheatwall.app.load;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.wire.http.Addresses;

/** Sends load to entry hosts, or to a runner directly for comparison. */
public final class LoadVerb implements Verb {
  @Override
  public String name() {
    return "load";
  }

  @Override
  public String summary() {
    return "send requests on a fixed schedule and report times and outcomes";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    VerbOptions options =
        new VerbOptions("load --target ADDRESS[,ADDRESS...] [OPTIONS]")
            .value("target", "addresses on 127.0.0.0/8 that get the requests in turn")
            .value("path", "path of the requests, default /call/refill/load")
            .value("rate", "requests a second, default 100")
            .value("warm-up", "seconds before anything is counted, default 3")
            .value("seconds", "duration, default 5")
            .value("deadline-ms", "deadline of each request, default 2000")
            .value("connections", "most idle connections kept to each target, default 256")
            .flag("keyed", "name each request as a step that may not be repeated");
    if (!options.parse(arguments, console)) {
      return DONE;
    }
    List<InetSocketAddress> targets = new ArrayList<>();
    for (String target : options.required("target").split(",", -1)) {
      targets.add(Addresses.parse(target));
    }
    LoadPlan plan =
        new LoadPlan(
            targets,
            options.text("path", "/call/refill/load"),
            options.integer("rate", 100),
            options.integer("warm-up", 3),
            options.integer("seconds", 5),
            options.has("keyed"),
            options.integer("deadline-ms", 2000),
            options.integer("connections", 256));
    try {
      console.out(new LoadGenerator(plan).run().document().toString());
      return DONE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new Refusal(RefusalKind.UNAVAILABLE, "interrupted", "run the command again");
    }
  }
}
