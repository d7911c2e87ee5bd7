package org.wheatwall.app.process;

import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The classes of an entry host and of the libraries under it, as they stand in the program file. A
 * class that the class archive lacks is read from that file at its first use, by whichever thread
 * needs it.
 */
final class ProgramClasses {
  // With all packages below them.
  private static final String PACKAGES_WITH_SUBPACKAGES =
      "org/wheatwall/(core|entry|platform|wire)"
          + "|io/netty/(buffer|channel/nio|channel/socket/nio|util/internal)"
          + "|com/fasterxml/jackson/core"
          + "|org/slf4j";

  // By themselves: the packages below them hold other transports and protocols.
  private static final String SINGLE_PACKAGES =
      "io/netty/(channel|util|util/concurrent|handler/codec|handler/codec/http)";

  private static final Pattern HOST_CLASS_FILES =
      Pattern.compile(
          "(" + PACKAGES_WITH_SUBPACKAGES + ")/.*\\.class|(" + SINGLE_PACKAGES + ")/[^/]*\\.class");

  private static final Logger LOG = LoggerFactory.getLogger(ProgramClasses.class);

  private ProgramClasses() {}

  /**
   * Loads them all, without running their static initializers. Classes that need an optional
   * library which is not there are passed over.
   *
   * @return how many were loaded; 0 if this program does not run from a file
   * @throws IOException if the program file cannot be read
   */
  static int load() throws IOException {
    Path program = programFile();
    if (!Files.isRegularFile(program)) {
      return 0;
    }
    int loaded = 0;
    for (String name : names(program)) {
      loaded += load(name) ? 1 : 0;
    }
    return loaded;
  }

  private static List<String> names(Path program) throws IOException {
    try (JarFile file = new JarFile(program.toFile())) {
      return file.stream()
          .map(JarEntry::getName)
          .filter(name -> HOST_CLASS_FILES.matcher(name).matches())
          .map(name -> name.substring(0, name.length() - ".class".length()).replace('/', '.'))
          .toList();
    }
  }

  private static boolean load(String name) throws IOException {
    try {
      Class.forName(name, false, ProgramClasses.class.getClassLoader());
      return true;
    } catch (LinkageError e) {
      LOG.debug("class {} cannot be loaded", name, e);
      return false;
    } catch (ClassNotFoundException e) {
      throw new IOException("class " + name + " is listed in the program file and not in it", e);
    }
  }

  private static Path programFile() throws IOException {
    try {
      URI location =
          ProgramClasses.class.getProtectionDomain().getCodeSource().getLocation().toURI();
      return Path.of(location);
    } catch (URISyntaxException e) {
      throw new IOException("the program file has no usable path", e);
    }
  }
}
