package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobOptions;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * Compares what is kept incrementally, or found by a shorter way, with a look at every host and
 * attempt, over random changes of a cluster.
 */
final class IndexesTest {
  private static final int CHANGES = 400;
  private static final int HOSTS = 14;
  private static final List<String> LABELS = List.of("fast", "large", "near");
  private static final List<Adjacency> ADJACENCIES = List.of(Adjacency.values());
  private static final long NOW_MS = 10_000;

  private final Cluster cluster = new Cluster();
  private final Map<String, RunningAttempt> running = new LinkedHashMap<>();
  private Random random;
  private int attempts;

  @RepeatedTest(5)
  void theyFindWhatALookAtEverythingFinds(RepetitionInfo repetition) {
    random = new Random(repetition.getCurrentRepetition());
    for (int i = 0; i < CHANGES; i++) {
      change();
      Job job = job();
      assertThat(cluster.offer().excludes(job)).isEqualTo(excludes(job));
      CapacityForecast forecast = CapacityForecast.of(job, cluster);
      assertThat(forecast.fitsNow()).isEqualTo(firstFitting(job, Double.NEGATIVE_INFINITY) != null);
      assertThat(forecast.earliest(running.values(), NOW_MS).map(IndexesTest::describe))
          .isEqualTo(earliest(job));
      Predicate<RunningAttempt> mayStop = attempt -> attempt.job().urgent() != job.urgent();
      Function<HostState, ResourceAmount> kept = host -> kept(host, mayStop);
      for (HostState host : cluster.hosts()) {
        assertThat(host.heldWork(running).kept(mayStop)).isEqualTo(kept.apply(host));
      }
      assertThat(
              PlacementSearch.bestFit(
                  cluster, Adjacency.ANY, job.tasks(), job.taskAmount(), HostState::free))
          .isEqualTo(leastCapacityFirst(job));
    }
  }

  private void change() {
    String host = "host-" + random.nextInt(HOSTS);
    switch (random.nextInt(9)) {
      case 0 -> addHost(host);
      case 1 -> addHost("host-" + random.nextInt(HOSTS));
      case 2 -> {
        if (random.nextInt(4) == 0) {
          cluster.remove(host);
        }
      }
      case 3 -> cluster.setUsable(host, random.nextInt(4) > 0);
      case 4 -> cluster.setLabels(host, labels());
      case 5, 6 -> start();
      case 7 -> anyAttempt().ifPresent(RunningAttempt::markStopping);
      default -> anyAttempt().ifPresent(this::end);
    }
  }

  private void addHost(String name) {
    ResourceAmount capacity = new ResourceAmount(16 + 16 * random.nextInt(2), 1000, 8);
    String rack = "rack-" + name.length() + name.charAt(name.length() - 1) % 3;
    cluster.add(new WorkerHost(name, "zone", rack, capacity));
  }

  private Labels labels() {
    String label = LABELS.get(random.nextInt(LABELS.size()));
    return new Labels(Map.of(label, label));
  }

  private void start() {
    List<HostState> hosts = new ArrayList<>(cluster.hosts());
    if (hosts.isEmpty()) {
      return;
    }
    Job job = job();
    List<String> names = new ArrayList<>();
    for (int i = 0; i < job.tasks(); i++) {
      names.add(hosts.get(random.nextInt(hosts.size())).name());
    }
    String id = "attempt-" + attempts++;
    Placement placement = new Placement(names);
    cluster.hold(id, placement, job);
    // An allocation is seen before its attempt is known.
    hosts.forEach(host -> host.heldWork(running));
    double expectedSeconds = random.nextInt(4);
    long startedAtMs = NOW_MS - 1000L * random.nextInt(3);
    running.put(
        id,
        new RunningAttempt(
            id, new QueuedJob(id, job, startedAtMs, expectedSeconds), placement, startedAtMs, 1));
  }

  private Optional<RunningAttempt> anyAttempt() {
    List<RunningAttempt> all = new ArrayList<>(running.values());
    return all.isEmpty() ? Optional.empty() : Optional.of(all.get(random.nextInt(all.size())));
  }

  private void end(RunningAttempt attempt) {
    if (random.nextBoolean()) {
      cluster.releaseTask(attempt.attemptId(), attempt.placement().hosts().get(0));
    } else {
      running.remove(attempt.attemptId());
      cluster.release(attempt.attemptId());
    }
  }

  private Job job() {
    Set<String> labels =
        random.nextBoolean() ? Set.of() : Set.of(LABELS.get(random.nextInt(LABELS.size())));
    JobOptions options =
        new JobOptions(
            0,
            labels,
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            Set.of(),
            HostSharing.ORDINARY,
            Optional.empty(),
            false,
            random.nextInt(4) == 0);
    return new Job(
            Labels.NONE,
            "workspace",
            "zone",
            Optional.empty(),
            1 + random.nextInt(5),
            new ResourceAmount(1 + random.nextInt(20), 10, random.nextInt(4)),
            ADJACENCIES.get(random.nextInt(ADJACENCIES.size())),
            10,
            random.nextInt(4) > 0,
            random.nextBoolean(),
            JobPhase.SUBMITTED)
        .withOptions(options);
  }

  private boolean excludes(Job job) {
    Set<String> labels = new HashSet<>();
    ResourceAmount most = ResourceAmount.ZERO;
    for (HostState host : cluster.hosts()) {
      if (host.usable()) {
        labels.addAll(host.labels().entries().keySet());
        ResourceAmount capacity = host.host().capacity();
        most =
            new ResourceAmount(
                Math.max(most.processors(), capacity.processors()),
                Math.max(most.memoryMb(), capacity.memoryMb()),
                Math.max(most.accelerators(), capacity.accelerators()));
      }
    }
    return !labels.containsAll(job.options().hostLabels()) || !most.covers(job.taskAmount());
  }

  private ResourceAmount kept(HostState host, Predicate<RunningAttempt> mayStop) {
    ResourceAmount kept = ResourceAmount.ZERO;
    for (String id : host.attempts()) {
      RunningAttempt attempt = running.get(id);
      boolean stays = attempt == null || !(attempt.stopping() || mayStop.test(attempt));
      kept = stays || !host.holdsReclaimable(id) ? kept.plus(host.held(id)) : kept;
    }
    return kept;
  }

  private Optional<Placement> leastCapacityFirst(Job job) {
    List<HostState> hosts = new ArrayList<>(cluster.hosts());
    hosts.sort(
        Comparator.comparingInt((HostState host) -> host.free().accelerators())
            .thenComparingInt(HostState::index));
    return GangFitter.fit(hosts, job.tasks(), job.taskAmount(), HostState::free);
  }

  /** What a {@link BackfillWindow} tells. */
  private record Window(Set<String> hosts, double startMs, int spareTasks) {}

  private static Window describe(BackfillWindow window) {
    return new Window(Set.copyOf(window.hosts()), window.startMs(), window.spareTasks());
  }

  private Optional<Window> earliest(Job job) {
    TreeSet<Double> times = new TreeSet<>();
    times.add(Double.NEGATIVE_INFINITY);
    for (RunningAttempt attempt : running.values()) {
      if (!attempt.job().options().longRunning()) {
        times.add(Math.max((double) NOW_MS, attempt.expectedEndMs()));
      }
    }
    for (double atMs : times) {
      Set<String> area = firstFitting(job, atMs);
      if (area != null) {
        int tasks = area.stream().mapToInt(name -> tasksThen(job, host(name), atMs)).sum();
        return Optional.of(new Window(area, Math.max((double) NOW_MS, atMs), tasks - job.tasks()));
      }
    }
    return Optional.empty();
  }

  private HostState host(String name) {
    return cluster.host(name).orElseThrow();
  }

  // Returns the hosts of the first area into which the whole job fits once all attempts that are
  // expected to end by then have ended, null if there is none.
  private Set<String> firstFitting(Job job, double atMs) {
    Map<String, Set<String>> areas = new LinkedHashMap<>();
    for (HostState host : cluster.hosts()) {
      if (!host.capacityFor(job, host.host().capacity()).equals(ResourceAmount.ZERO)) {
        areas.computeIfAbsent(area(job, host), name -> new HashSet<>()).add(host.name());
      }
    }
    for (Set<String> hosts : areas.values()) {
      int tasks = hosts.stream().mapToInt(name -> tasksThen(job, host(name), atMs)).sum();
      if (tasks >= job.tasks()) {
        return hosts;
      }
    }
    return null;
  }

  private static String area(Job job, HostState host) {
    return switch (job.adjacency()) {
      case SAME_HOST -> host.name();
      case SAME_RACK -> host.host().rack();
      case ANY -> "";
    };
  }

  private int tasksThen(Job job, HostState host, double atMs) {
    ResourceAmount used = host.used();
    for (RunningAttempt attempt : running.values()) {
      boolean ends = !attempt.job().options().longRunning();
      if (ends && Math.max((double) NOW_MS, attempt.expectedEndMs()) <= atMs) {
        used = used.minus(held(attempt, host));
      }
    }
    ResourceAmount available =
        host.usable() ? host.host().capacity().minus(used) : ResourceAmount.ZERO;
    return Math.min(
        job.tasks(), host.capacityNowFor(job, available).countFitting(job.taskAmount()));
  }

  private ResourceAmount held(RunningAttempt attempt, HostState host) {
    int tasks =
        (int)
            cluster.placement(attempt.attemptId()).orElseThrow().hosts().stream()
                .filter(host.name()::equals)
                .count();
    return attempt.job().taskAmount().times(tasks);
  }
}
