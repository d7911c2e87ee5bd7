package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The entry hosts: separate processes, started with the command of the deploy file and the settings
 * that its template gives for a small deployment. A process that ends is started again after a
 * second, as the platform does.
 */
final class Hosts implements AutoCloseable {
  /** One entry host: its addresses, its command and its present process. */
  static final class Host {
    final String name;
    final String jobs;
    final String ready;
    final String metrics;
    private final List<String> command;
    private final Path output;
    private final String ip;
    private volatile Process process;
    private volatile boolean stopped;
    private volatile int ownEnds;

    private Host(String name, String ip, Path folder, String store, String zone)
        throws IOException {
      this.name = name;
      this.ip = ip;
      this.jobs = freeAddress();
      this.ready = freeAddress();
      this.metrics = freeAddress();
      Path settings = folder.resolve(name + ".json");
      Files.writeString(
          settings, settings(name, ip, zone, jobs, ready, metrics, freeAddress(), store));
      this.command = command(settings);
      this.output = folder.resolve(name + ".log");
    }

    private String freeAddress() throws IOException {
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
        return ip + ":" + socket.getLocalPort();
      }
    }

    int ownEnds() {
      return ownEnds;
    }

    long pid() {
      return process.pid();
    }

    boolean alive() {
      return process.isAlive();
    }

    /** Sends a signal to the process, such as TERM, STOP or CONT. */
    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, String.valueOf(pid())).start().waitFor();
    }

    /** Marks the next end of the process as wanted, so that it is not started again. */
    void expectEnd() {
      stopped = true;
    }
  }

  private static final int RESTART_MS = 1000;
  private final Record record;
  private final Path folder;
  private final List<Host> all = new ArrayList<>();

  Hosts(int count, String firstStore, String store, Record record) throws IOException {
    this.record = record;
    this.folder = Files.createTempDirectory("review-hosts");
    for (int i = 1; i <= count; i++) {
      all.add(
          new Host("host-" + i, network() + i, folder, i == 1 ? firstStore : store, "zone-" + i));
    }
    for (Host host : all) {
      start(host);
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  // Runs side by side must not choose the same free port.
  private static String network() {
    long pid = ProcessHandle.current().pid();
    return "127." + (30 + pid % 200) + "." + (pid / 200 % 250) + ".";
  }

  List<Host> all() {
    return all;
  }

  private static List<String> command(Path settings) throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no line run");
    }
    return List.of(run.group(1).replace("/etc/wheatwall/boot.json", settings.toString()).split(" "));
  }

  private static String settings(
      String name,
      String ip,
      String zone,
      String jobs,
      String ready,
      String metrics,
      String peers,
      String store) {
    return """
        {
          "host": "%s",
          "address": "%s",
          "zone": "%s",
          "listen": {"jobs": "%s", "ready": "%s", "metrics": "%s", "peers": "%s"},
          "store": {"address": "%s"},
          "leaseMs": 10000,
          "retentionSeconds": 120,
          "processorShare": 0.75,
          "processors": 1,
          "switchedOff": ["host-paces"],
          "features": {"speedAwarePlacement": {}},
          "graceSeconds": 6
        }
        """
        .formatted(name, ip, zone, jobs, ready, metrics, peers, store);
  }

  private void start(Host host) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(host.command);
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(host.output.toString())));
    host.process = builder.start();
    record.line(host.name + ": process started");
    host.process.onExit().thenAccept(ended -> onEnd(host, ended));
  }

  private void onEnd(Host host, Process ended) {
    if (host.stopped) {
      return;
    }
    host.ownEnds++;
    record.line(host.name + ": process ended by itself, exit code " + ended.exitValue());
    try {
      Thread.sleep(RESTART_MS);
      if (!host.stopped) {
        start(host);
      }
    } catch (IOException | InterruptedException e) {
      record.line(host.name + ": not started again: " + e);
    }
  }

  int ownEnds() {
    return all.stream().mapToInt(Host::ownEnds).sum();
  }

  /** Returns the lines of a host's output that contain a text. */
  List<String> lines(Host host, String text) throws IOException {
    try (var lines = Files.lines(host.output, java.nio.charset.StandardCharsets.ISO_8859_1)) {
      return lines.filter(line -> line.contains(text)).toList();
    }
  }

  /** Ends all processes and removes their settings and output. */
  @Override
  public void close() {
    all.forEach(Host::expectEnd);
    for (Host host : all) {
      host.process.destroyForcibly();
    }
    try {
      for (Host host : all) {
        host.process.waitFor(5, TimeUnit.SECONDS);
      }
      if (System.getenv("KEEP_OUTPUT") == null && Files.exists(folder)) {
        for (File file : folder.toFile().listFiles()) {
          Files.deleteIfExists(file.toPath());
        }
        Files.deleteIfExists(folder);
      }
    } catch (IOException | InterruptedException e) {
      record.line("clean-up: " + e);
    }
  }
}
