package org.wheatwall.app.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wheatwall.standin.proxy.FaultProxy;
import org.wheatwall.wire.http.Addresses;
import org.wheatwall.wire.json.Json;

/**
 * An entry host under test: a separate process with its own address and a proxy between it and the
 * store. Signals are sent only to processes that this class started.
 */
final class SoakHost implements AutoCloseable {
  private static final int LISTENERS = 4;
  private static final int LEASE_MS = 6000;
  private static final int GRACE_SECONDS = 3;
  private static final int EXIT_LIMIT_SECONDS = 10;

  private final int number;
  private final InetSocketAddress jobsAddress;
  private final FaultProxy storeLink;
  private final Path settings;
  private final File output;
  private final Path suspensionPath;
  private final SuspensionFile suspensions;
  private final SignalSender signals;
  private final Set<StopCause> stopCauses = EnumSet.noneOf(StopCause.class);
  private long suspendedSinceNanos;
  private Optional<Process> process = Optional.empty();
  private volatile int incarnation;

  /** Why a process does not run although it has not ended. */
  enum StopCause {
    PAUSED,
    SUSPENDED,
    OUT_OF_PROCESSOR_TIME
  }

  SoakHost(
      int number,
      Path folder,
      EventLoopGroup group,
      InetSocketAddress store,
      SignalSender signals) {
    this.signals = signals;
    try {
      this.number = number;
      InetAddress address = HostAddresses.of(ProcessHandle.current().pid(), number);
      List<InetSocketAddress> listeners = HostAddresses.withFreePorts(address, LISTENERS);
      this.jobsAddress = listeners.get(0);
      this.storeLink =
          FaultProxy.start(
              group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), store);
      this.settings = folder.resolve("host-" + number + ".json");
      this.suspensionPath = folder.resolve("host-" + number + ".suspensions");
      this.suspensions = new SuspensionFile(suspensionPath);
      this.output = folder.resolve("host-" + number + ".log").toFile();
      Files.write(settings, settingsText(listeners));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the address that callers connect to. */
  InetSocketAddress jobsAddress() {
    return jobsAddress;
  }

  /** Returns the proxy between this host and the store. */
  FaultProxy storeLink() {
    return storeLink;
  }

  /** Returns the incarnation of the process: how often {@link #start} has started it. */
  int incarnation() {
    return incarnation;
  }

  /** Starts the process, unless it is running. */
  synchronized void start() {
    if (process.filter(Process::isAlive).isEmpty()) {
      incarnation++;
      startUncounted();
    }
  }

  /** Starts a process without incrementing the incarnation. */
  synchronized void startUncounted() {
    releaseAll();
    try {
      process =
          Optional.of(
              new ProcessBuilder(command())
                  .redirectErrorStream(true)
                  .redirectOutput(ProcessBuilder.Redirect.appendTo(output))
                  .start());
    } catch (IOException e) {
      throw new UncheckedIOException("host " + number + " cannot be started", e);
    }
  }

  /** Kills the process. */
  synchronized void kill() {
    process.ifPresent(Process::destroyForcibly);
    awaitExit();
  }

  /** Starts a graceful shutdown of the process. */
  synchronized void stop() {
    process.ifPresent(Process::destroy);
  }

  /**
   * Kills a process that has not completed its graceful shutdown, as the platform does, and starts
   * it again.
   */
  void startAfterStop() {
    kill();
    start();
  }

  /** Returns the identifier of the process, empty if none is running. */
  synchronized Optional<Long> processId() {
    return process.filter(Process::isAlive).map(Process::pid);
  }

  /** Signals the process to reload its settings. */
  synchronized void reload() {
    send("HUP");
  }

  /** Stops the process for a reason, until all its reasons are released. */
  synchronized void hold(StopCause cause) {
    if (processId().isEmpty()) {
      return;
    }
    boolean wasRunning = stopCauses.isEmpty();
    boolean added = stopCauses.add(cause);
    if (added && cause == StopCause.SUSPENDED) {
      suspendedSinceNanos = System.nanoTime();
    }
    if (wasRunning) {
      send("STOP");
    }
  }

  /**
   * Releases a process that was stopped for a reason. The monotonic clock of a suspended process
   * does not include the time of the suspension.
   */
  synchronized void release(StopCause cause) {
    if (!stopCauses.remove(cause)) {
      return;
    }
    if (cause == StopCause.SUSPENDED) {
      suspensions.add(System.nanoTime() - suspendedSinceNanos);
    }
    if (stopCauses.isEmpty()) {
      send("CONT");
    }
  }

  private void releaseAll() {
    List.copyOf(stopCauses).forEach(this::release);
  }

  private void send(String signal) {
    processId().ifPresent(processId -> signals.send(signal, processId));
  }

  @Override
  public void close() {
    kill();
    storeLink.close();
  }

  private void awaitExit() {
    try {
      if (process.isPresent()) {
        process.get().waitFor(EXIT_LIMIT_SECONDS, TimeUnit.SECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // The same virtual machine and classes as this process, with the memory limits of an entry host.
  private List<String> command() {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    return List.of(
        java,
        "-Xmx96m",
        "-Xss384k",
        "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1",
        "-Dlogback.configurationFile=logback-process.xml",
        "-cp",
        System.getProperty("java.class.path"),
        SuspendableHost.class.getName(),
        suspensionPath.toString(),
        "--settings",
        settings.toString());
  }

  private byte[] settingsText(List<InetSocketAddress> listeners) {
    ObjectNode body =
        Json.mapper()
            .createObjectNode()
            .put("host", "host-" + number)
            .put("address", jobsAddress.getAddress().getHostAddress())
            .put("zone", "zone")
            .put("leaseMs", LEASE_MS)
            .put("graceSeconds", GRACE_SECONDS);
    body.putObject("listen")
        .put("jobs", Addresses.text(listeners.get(0)))
        .put("ready", Addresses.text(listeners.get(1)))
        .put("metrics", Addresses.text(listeners.get(2)))
        .put("peers", Addresses.text(listeners.get(3)));
    body.putObject("store").put("address", "127.0.0.1:" + storeLink.port());
    return Json.bytes(body);
  }
}
