package org.wheatwall.app.soak;

import java.nio.file.Path;
import java.util.Arrays;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.process.ServeVerb;
import org.wheatwall.entry.common.KernelUptime;
import org.wheatwall.entry.common.MachineClock;

/**
 * Runs an entry host whose monotonic clock excludes the time for which the soak suspended it. The
 * soak cannot suspend the machine that it runs on; a stopped process with such a clock observes the
 * same.
 */
final class SuspendableHost {
  private SuspendableHost() {}

  /**
   * Runs the host. The first argument is the path of the {@link SuspensionFile}; the others are
   * passed to {@link ServeVerb}.
   */
  public static void main(String[] arguments) throws ParseException {
    SuspensionFile suspensions = new SuspensionFile(Path.of(arguments[0]));
    MachineClock clock =
        new MachineClock(
            () -> System.nanoTime() - suspensions.suspendedNanos(),
            System::currentTimeMillis,
            KernelUptime.open());
    String[] serveArguments = Arrays.copyOfRange(arguments, 1, arguments.length);
    System.exit(new ServeVerb(clock).run(Arrays.asList(serveArguments), Console.system()));
  }
}
