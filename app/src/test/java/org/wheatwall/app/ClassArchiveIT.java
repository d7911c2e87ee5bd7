package org.wheatwall.app;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The deployed command loads no class from the executable JAR, because the class archive contains
 * all of them. Guards against processes that exit with code 134: this occurred when the decision
 * thread of a new process read a class from the JAR while another thread started its work.
 */
final class ClassArchiveIT {
  private static final int JOB_TIMEOUT_MS = 20_000;
  private static final Pattern COMMAND = Pattern.compile("(?m)^run = \"([^\"]+)\"$");
  private static final Path ROOT =
      Path.of(System.getProperty("wheatwall.executable")).getParent().getParent();

  @TempDir Path folder;

  @Test
  void everyClassOfAHostComesFromTheClassArchive() throws Exception {
    Path loaded = folder.resolve("classes.txt");
    ServedHost.runScenario(
        folder,
        settings -> deployedCommand(settings, loaded),
        ROOT,
        (cluster, group, host) -> {
          assertThat(cluster.runJob(group, host.port(), JOB_TIMEOUT_MS)).isTrue();
          host.process().destroy();
          assertThat(host.process().waitFor()).isEqualTo(143);
        });
    try (Stream<String> lines = Files.lines(loaded)) {
      assertThat(lines.filter(line -> line.contains("shared objects file (top)")).count())
          .isGreaterThan(100);
    }
    try (Stream<String> lines = Files.lines(loaded)) {
      assertWithMessage("classes read from the executable JAR")
          .that(lines.filter(line -> line.contains("source: file:")).toList())
          .isEmpty();
    }
  }

  private static List<String> deployedCommand(Path settings, Path loaded) throws IOException {
    Matcher matcher = COMMAND.matcher(Files.readString(ROOT.resolve("deploy/system.toml")));
    assertThat(matcher.find()).isTrue();
    List<String> words = new ArrayList<>(List.of(matcher.group(1).split(" ")));
    words.set(words.size() - 1, settings.toString());
    words.add(1, "-Xlog:class+load=info:file=" + loaded);
    return words;
  }
}
