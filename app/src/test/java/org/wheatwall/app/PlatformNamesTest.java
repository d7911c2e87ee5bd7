package org.wheatwall.app;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Names of the platform's wire protocol occur only in the platform adapter and its stand-ins. */
final class PlatformNamesTest {
  private static final Pattern WIRE_NAMES =
      Pattern.compile(
          "\"(run_id|fencing_token|after_rev|may_miss|last_seen|long_running|max_hold_ms"
              + "|max_attempts|deadline_ms|path_prefix|api_keys|keyed\\.[a-z]+)\""
              + "|/v1/(log-|run-start|run-stop|hold|advise|pace|machine)");

  @Test
  void noOtherModuleUsesPlatformNames() throws IOException {
    Path root = Path.of("").toAbsolutePath().getParent();
    for (String module : List.of("core", "wire", "entry", "app")) {
      try (Stream<Path> files = Files.walk(root.resolve(module).resolve("src/main/java"))) {
        List<Path> filesWithNames =
            files
                .filter(file -> file.toString().endsWith(".java"))
                .filter(this::usesPlatformNames)
                .toList();
        assertThat(filesWithNames).isEmpty();
      }
    }
  }

  private boolean usesPlatformNames(Path file) {
    try {
      return WIRE_NAMES.matcher(Files.readString(file)).find();
    } catch (IOException e) {
      throw new IllegalStateException(file + " cannot be read", e);
    }
  }
}
