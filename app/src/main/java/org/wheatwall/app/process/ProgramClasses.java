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
 * Loads the classes of an entry host and its libraries from the executable JAR, so that the class
 * archive contains them. A class that the archive lacks is read from the JAR at its first use, on
 * the thread that uses it.
 */
final class ProgramClasses {
  // Matched including subpackages.
  private static final String PACKAGES_WITH_SUBPACKAGES =
      "org/wheatwall/(core|entry|platform|wire)"
          + "|io/netty/(buffer|channel/nio|channel/socket/nio|util/internal)"
          + "|com/fasterxml/jackson/core"
          + "|org/slf4j";

  // Matched without subpackages, which contain other transports and protocols.
  private static final String SINGLE_PACKAGES =
      "io/netty/(channel|util|util/concurrent|handler/codec|handler/codec/http)";

  private static final Pattern HOST_CLASS_FILES =
      Pattern.compile(
          "(" + PACKAGES_WITH_SUBPACKAGES + ")/.*\\.class|(" + SINGLE_PACKAGES + ")/[^/]*\\.class");

  private static final Logger LOG = LoggerFactory.getLogger(ProgramClasses.class);

  private ProgramClasses() {}

  /**
   * Loads all these classes without running their static initializers. Skips classes that need an
   * absent optional library.
   *
   * @return the number of classes loaded; 0 if the program does not run from a JAR
   * @throws IOException if the JAR cannot be read
   */
  static int load() throws IOException {
    Path jar = programJar();
    if (!Files.isRegularFile(jar)) {
      return 0;
    }
    int loaded = 0;
    for (String name : classNames(jar)) {
      loaded += load(name) ? 1 : 0;
    }
    return loaded;
  }

  private static List<String> classNames(Path jar) throws IOException {
    try (JarFile file = new JarFile(jar.toFile())) {
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

  private static Path programJar() throws IOException {
    try {
      URI location =
          ProgramClasses.class.getProtectionDomain().getCodeSource().getLocation().toURI();
      return Path.of(location);
    } catch (URISyntaxException e) {
      throw new IOException("the program file has no usable path", e);
    }
  }
}
