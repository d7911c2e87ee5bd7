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

/** Declares and parses the options of a verb and returns their values by type. */
public final class VerbOptions {
  private static final int HELP_WIDTH = 100;

  private final String usage;
  private final Options options = new Options();
  private CommandLine parsed;

  /** Creates the options; {@code usage} follows the program name in the help text. */
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

  /** Parses the arguments; returns false if {@code --help} was given and the help is printed. */
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

  /** Returns whether an option is present. */
  public boolean has(String longName) {
    return parsed.hasOption(longName);
  }

  /** Returns the value of an option, or {@code fallback} if it is absent. */
  public String text(String longName, String fallback) {
    return parsed.getOptionValue(longName, fallback);
  }

  /**
   * Returns the value of a mandatory option.
   *
   * @throws ParseException if the option is absent
   */
  public String required(String longName) throws ParseException {
    if (!parsed.hasOption(longName)) {
      throw new ParseException("--" + longName + " is missing");
    }
    return parsed.getOptionValue(longName);
  }

  /**
   * Returns the value of an option as an integer, or {@code fallback} if it is absent.
   *
   * @throws ParseException if the value is not an integer
   */
  public int integer(String longName, int fallback) throws ParseException {
    try {
      return Integer.parseInt(text(longName, String.valueOf(fallback)));
    } catch (NumberFormatException e) {
      throw new ParseException("--" + longName + " is not a whole number");
    }
  }

  /** Returns the value of an option as a socket address, {@code fallback} if it is absent. */
  public InetSocketAddress address(String longName, String fallback) {
    return Addresses.parse(text(longName, fallback));
  }

  // Uses the deprecated formatter because the API of its successor is not stable yet.
  @SuppressWarnings("deprecation")
  private void showHelp(Console console) {
    PrintWriter writer = new PrintWriter(console.output(), true, StandardCharsets.UTF_8);
    new org.apache.commons.cli.HelpFormatter()
        .printHelp(writer, HELP_WIDTH, "wheatwall " + usage, null, options, 2, 2, null);
    writer.flush();
  }
}
