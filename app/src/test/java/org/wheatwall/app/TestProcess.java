package org.wheatwall.app;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the packaged executable, which is killed when the test ends. */
final class TestProcess implements AutoCloseable {
  private static final String EXECUTABLE = System.getProperty("wheatwall.executable");

  private final Process process;
  private final int port;

  private TestProcess(Process process, int port) {
    this.process = process;
    this.port = port;
  }

  /** Runs a verb and reads from its output the port on which it listens. */
  static TestProcess start(Path log, String... arguments) throws IOException {
    List<String> command = new ArrayList<>(List.of(EXECUTABLE));
    command.addAll(List.of(arguments));
    Process process =
        new ProcessBuilder(command)
            .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    BufferedReader output =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    String line = output.readLine();
    if (line == null || !line.startsWith("listening ")) {
      throw new IOException("process did not start: " + line);
    }
    return new TestProcess(process, Integer.parseInt(line.substring("listening ".length())));
  }

  int port() {
    return port;
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  long pid() {
    return process.pid();
  }

  Process process() {
    return process;
  }

  /** Sends SIGTERM, which starts a planned stop, and waits for the process to exit. */
  void stopAsPlanned() throws InterruptedException {
    process.destroy();
    process.waitFor(30, TimeUnit.SECONDS);
  }

  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(10, TimeUnit.SECONDS);
  }

  /** Sends a signal by name, such as STOP or CONT. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, String.valueOf(pid())).start().waitFor();
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
