package org.wheatwall.app.command;

import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wheatwall.wire.http.Addresses;

/** Options of one verb: declared, parsed, and read as typed values. */
public final class VerbOptions {
  private static final int HELP_WIDTH = 100;

  private final String usage;
  private final Options options = new Options();
  private CommandLine parsed;

  /** Creates options; {@code usage} is the line after the program's name. */
  public VerbOptions(String usage) {
    this.usage = usage;
    options.addOption(Option.builder("h").longOpt("help").desc("show this help").build());
  }

  /** Declares an option with a value. */
  public VerbOptions value(String longName, String description) {
    options.addOption(Option.builder().longOpt(longName).hasArg().desc(description).build());
    return this;
  }

  /** Declares an option with a value and a short name. */
  public VerbOptions value(String shortName, String longName, String description) {
    options.addOption(
        Option.builder(shortName).longOpt(longName).hasArg().desc(description).build());
    return this;
  }

  /** Declares an option without a value. */
  public VerbOptions flag(String longName, String description) {
    options.addOption(Option.builder().longOpt(longName).desc(description).build());
    return this;
  }

  /** Parses; returns false after showing help, if that was asked for. */
  public boolean parse(List<String> arguments, Console console) throws ParseException {
    parsed = new DefaultParser().parse(options, arguments.toArray(new String[0]));
    if (parsed.hasOption("help")) {
      showHelp(console);
      return false;
    }
    return true;
  }

  /** Returns the arguments that are not options. */
  public List<String> positionalArguments() {
    return parsed.getArgList();
  }

  /** Returns whether a flag or value was given. */
  public boolean has(String longName) {
    return parsed.hasOption(longName);
  }

  /** Returns a text. */
  public String text(String longName, String fallback) {
    return parsed.getOptionValue(longName, fallback);
  }

  /** Returns a text that must be given. */
  public String required(String longName) throws ParseException {
    if (!parsed.hasOption(longName)) {
      throw new ParseException("--" + longName + " is missing");
    }
    return parsed.getOptionValue(longName);
  }

  /** Returns a whole number. */
  public int integer(String longName, int fallback) throws ParseException {
    try {
      return Integer.parseInt(text(longName, String.valueOf(fallback)));
    } catch (NumberFormatException e) {
      throw new ParseException("--" + longName + " is not a whole number");
    }
  }

  /** Returns an address. */
  public InetSocketAddress address(String longName, String fallback) {
    return Addresses.parse(text(longName, fallback));
  }

  // The help formatter that this replaces is deprecated, but its successor is not yet settled.
  @SuppressWarnings("deprecation")
  private void showHelp(Console console) {
    PrintWriter writer = new PrintWriter(console.output(), true, StandardCharsets.UTF_8);
    new org.apache.commons.cli.HelpFormatter()
        .printHelp(writer, HELP_WIDTH, "wheatwall " + usage, null, options, 2, 2, null);
    writer.flush();
  }
}
