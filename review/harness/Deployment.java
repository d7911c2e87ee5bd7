package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store, entry hosts in three zones, and runners. */
final class Deployment implements AutoCloseable {
  private static final List<String> ZONES =
      List.of("rosario-norte", "rosario-centro", "rosario-sur");
  private static final int RUNNERS = 8;
  private static final int RUNNERS_PER_RACK = 8;
  private static final int FIRST_RUNNER = 0xc0;

  final Record record;
  final Store store;
  final Jobs jobs = new Jobs();
  final Client client;
  final List<Daemon> daemons = new ArrayList<>();
  final List<Store.Entrance> entrances = new ArrayList<>();
  final List<Runner> runners = new ArrayList<>();
  private final Path folder;
  private boolean ended;

  /** Starts a deployment with eight runners, see the other constructor. */
  Deployment(Path recordFile, Runner.EndRule endRule, String kindOfLast, int perZone)
      throws IOException {
    this(recordFile, endRule, kindOfLast, perZone, RUNNERS);
  }

  /**
   * Starts a deployment.
   *
   * @param recordFile file that gets the record
   * @param kindOfLast kind of the last runner; all others are of kind a
   * @param perZone number of entry hosts in each zone
   */
  Deployment(
      Path recordFile, Runner.EndRule endRule, String kindOfLast, int perZone, int runnerCount)
      throws IOException {
    record = new Record(recordFile);
    folder = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAndDelete));
    store = new Store();
    client = new Client(record);
    Platform.publish(store, 7, List.of(Platform.CONFIRM, Platform.SWEEP, Platform.RECONCILE));
    for (int i = 0; i < runnerCount; i++) {
      runners.add(
          new Runner(
              String.format("i-7f3a91%02x", FIRST_RUNNER + i),
              "127.0.2." + (i + 1),
              ZONES.get(i % ZONES.size()),
              i == runnerCount - 1 ? kindOfLast : "a",
              "r1-" + (1 + i / RUNNERS_PER_RACK),
              store,
              jobs,
              record,
              endRule));
    }
    for (String zone : ZONES) {
      for (int i = 1; i <= perZone; i++) {
        startDaemon("edge-" + zone + "-" + i, zone);
      }
    }
    for (Daemon daemon : daemons) {
      if (!daemon.awaitReady()) {
        throw new IOException(daemon.name() + " does not become ready");
      }
    }
    record.line("all entry hosts are ready");
  }

  private synchronized void startDaemon(String name, String zone) throws IOException {
    if (ended) {
      throw new IOException("the scenario is being ended");
    }
    Store.Entrance entrance = store.new Entrance("127.0.0.2");
    entrances.add(entrance);
    String ip = "127.0.1." + (daemons.size() + 1);
    Path repository = Path.of("").toAbsolutePath();
    daemons.add(new Daemon(repository, folder, name, ip, zone, entrance.address()));
  }

  /** Hands in a job at a daemon; fails the scenario unless it is accepted. */
  void submit(int daemon, Platform.Queue queue, Jobs.Job job) throws IOException {
    jobs.add(job);
    Client.Answer answer = client.post(daemons.get(daemon), queue, job);
    if (answer.status() != 200) {
      throw new IOException("job " + job.id() + " was answered " + answer.status());
    }
  }

  /** Waits until a job has so many open runs; returns whether it has. */
  boolean awaitOpenRuns(String job, int count, int limitMs) {
    long untilNanos = System.nanoTime() + 1_000_000L * limitMs;
    while (System.nanoTime() < untilNanos) {
      if (jobs.openRunsOf(job).size() >= count) {
        return true;
      }
      Http.sleep(20);
    }
    return false;
  }

  /** Returns how many tasks of a step have room on all runners now. */
  int room(Jobs.Step step) {
    return runners.stream().mapToInt(runner -> runner.room(step)).sum();
  }

  /** Returns the mean over the runners of the share of their capacity that is in use. */
  double usedShare() {
    return runners.stream().mapToDouble(Runner::usedShare).average().orElse(0);
  }

  private synchronized void endProcesses() {
    ended = true;
    daemons.forEach(Daemon::kill);
  }

  private void endAndDelete() {
    endProcesses();
    try {
      deleteFolder();
    } catch (IOException e) {
      System.out.println("the temporary folder is left over: " + e);
    }
  }

  private void deleteFolder() throws IOException {
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    String keep = System.getenv("REVIEW_LOGS");
    if (keep != null) {
      try (Stream<Path> files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.copy(
              file, Path.of(keep).resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
        }
      }
    }
    deleteFolder();
    record.close();
  }
}
