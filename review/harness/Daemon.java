package review;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An entry host, started with the command of the deploy file and the template of its settings,
 * filled as the platform does.
 */
final class Daemon {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Pattern SECTION =
      Pattern.compile("\\{\\{#([a-z_.]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
  private static final Pattern GAP = Pattern.compile("\\{\\{([a-z_.0-9]+)}}");
  private static final String SETTINGS = "/etc/wheatwall/boot.json";
  private static final int READY_TIMEOUT_MS = 20_000;

  private final String name;
  private final Process process;
  private final String front;
  private final String ready;

  Daemon(Path repository, Path folder, String name, String ip, String zone, String store)
      throws IOException {
    this.name = name;
    this.front = ip + ":" + Http.freePort(ip);
    this.ready = ip + ":" + Http.freePort(ip);
    Map<String, String> values =
        Map.ofEntries(
            Map.entry("node", name),
            Map.entry("ip", ip),
            Map.entry("zone", zone),
            Map.entry("listen.front", front),
            Map.entry("listen.ready", ready),
            Map.entry("port_range.0", String.valueOf(Http.freePort(ip))),
            Map.entry("port_range.1", String.valueOf(Http.freePort(ip))),
            Map.entry("platform.address", store),
            Map.entry("bounds.max_hold_ms", "6000"),
            Map.entry("bounds.status_s", "120"),
            Map.entry("bounds.grace_s", "6"),
            Map.entry("limits.cpu_share", "0.75"),
            Map.entry("limits.cores", "1"));
    Path settings = folder.resolve(name + ".json");
    Files.writeString(
        settings, fill(Files.readString(repository.resolve("deploy/settings.json")), values));
    List<String> command = new ArrayList<>();
    for (String word : command(repository).split(" ")) {
      command.add(word.equals(SETTINGS) ? settings.toString() : word);
    }
    File log = folder.resolve(name + ".log").toFile();
    this.process =
        new ProcessBuilder(command)
            .directory(repository.toFile())
            .redirectErrorStream(true)
            .redirectOutput(log)
            .start();
  }

  private static String command(Path repository) throws IOException {
    Matcher run = RUN.matcher(Files.readString(repository.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    return run.group(1);
  }

  private static String fill(String template, Map<String, String> values) {
    String text =
        SECTION
            .matcher(template)
            .replaceAll(
                section ->
                    values.containsKey(section.group(1))
                        ? Matcher.quoteReplacement(section.group(2))
                        : "");
    return GAP.matcher(text)
        .replaceAll(gap -> Matcher.quoteReplacement(values.getOrDefault(gap.group(1), "")));
  }

  String name() {
    return name;
  }

  /** Returns the address for clients. */
  String front() {
    return front;
  }

  /** Waits until it calls itself ready; returns whether it did. */
  boolean awaitReady() {
    long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
    while (System.nanoTime() < untilNanos && process.isAlive()) {
      if (isReady()) {
        return true;
      }
      Http.sleep(100);
    }
    return false;
  }

  private boolean isReady() {
    try {
      HttpURLConnection connection =
          (HttpURLConnection) URI.create("http://" + ready + "/v1/ready").toURL().openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  /** Sends SIGKILL and waits for the end. */
  void kill() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
