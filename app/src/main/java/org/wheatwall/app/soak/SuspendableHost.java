package org.wheatwall.app.soak;

import java.nio.file.Path;
import java.util.Arrays;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.process.ServeVerb;
import org.wheatwall.entry.common.KernelUptime;
import org.wheatwall.entry.common.MachineClock;

/**
 * Runs an entry host whose steady clock leaves out the time for which its run suspended it. No
 * machine can be suspended by a process on it; a stopped process with such a clock sees the same.
 */
final class SuspendableHost {
  private SuspendableHost() {}

  /** Runs the host; the first argument is the file of suspensions. */
  public static void main(String[] arguments) throws ParseException {
    SuspensionFile suspensions = new SuspensionFile(Path.of(arguments[0]));
    MachineClock clock =
        new MachineClock(
            () -> System.nanoTime() - suspensions.suspendedNanos(),
            System::currentTimeMillis,
            KernelUptime.open());
    String[] rest = Arrays.copyOfRange(arguments, 1, arguments.length);
    System.exit(new ServeVerb(clock).run(Arrays.asList(rest), Console.system()));
  }
}
