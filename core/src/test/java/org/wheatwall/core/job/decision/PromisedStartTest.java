package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobOptions;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/**
 * On random clusters with random work, lasting and timed, urgent and not: a job for which there is
 * room twice over starts within 3 s if less than half of the capacity is in use, and long-running
 * work however much is in use, whatever stands before it in the queue.
 */
final class PromisedStartTest {
  private static final int SCHEDULES = 150;
  private static final int DURATION_MS = 30_000;
  private static final int STEP_MS = 100;
  private static final int PROMISED_MS = 3000;
  private static final int URGENT_RESERVE_PERCENT = 45;
  private static final int[] ACCELERATORS = {0, 1, 1, 2, 4, 8};
  private static final List<String> KINDS = List.of("a", "b");

  private final Map<String, Job> waiting = new HashMap<>();
  private final Map<String, Integer> roomSinceMs = new HashMap<>();
  private final Map<String, Integer> endsAtMs = new HashMap<>();
  private Random random;
  private Scheduler scheduler;
  private int jobs;
  private int overtakes;

  private void start(long seed) {
    random = new Random(seed);
    waiting.clear();
    roomSinceMs.clear();
    endsAtMs.clear();
    jobs = 0;
    scheduler =
        new Scheduler(
            new SchedulerSettings(
                600_000,
                500,
                64,
                HostHealthSettings.SHORT_JOBS,
                URGENT_RESERVE_PERCENT,
                Mechanisms.ALL));
    scheduler.setPolicies(
        Map.of(
            "all",
            new PolicySpec(Labels.NONE, PolicyAlgorithm.PRIORITY_FIRST, "", 0, 0, 0, false)));
    int hosts = 4 + random.nextInt(12);
    for (int i = 0; i < hosts; i++) {
      String name = "host-" + i;
      ResourceAmount capacity = new ResourceAmount(32_000, 64_000, random.nextInt(5) == 0 ? 4 : 8);
      scheduler.cluster().add(new WorkerHost(name, "zone", "rack-" + i / 4, capacity));
      String kind = KINDS.get(random.nextInt(KINDS.size()));
      scheduler.cluster().setLabels(name, new Labels(Map.of(kind, "yes")));
    }
    scheduler.hostsChanged();
  }

  private Job job() {
    int accelerators = ACCELERATORS[random.nextInt(ACCELERATORS.length)];
    int kind = random.nextInt(6);
    boolean longRunning = kind == 0;
    boolean urgent = kind == 1;
    int tasks = random.nextInt(3) == 0 ? 2 + random.nextInt(5) : 1;
    Set<String> labels =
        random.nextInt(4) == 0 ? Set.of(KINDS.get(random.nextInt(KINDS.size()))) : Set.of();
    JobOptions options =
        new JobOptions(
            urgent ? 0 : 1 + random.nextInt(2),
            labels,
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            Set.of(),
            HostSharing.ORDINARY,
            Optional.empty(),
            false,
            longRunning);
    return new Job(
            Labels.NONE,
            "workspace",
            "zone",
            Optional.empty(),
            tasks,
            new ResourceAmount(1000 + random.nextInt(8000), 1000, accelerators),
            random.nextBoolean() ? Adjacency.ANY : Adjacency.SAME_RACK,
            1 + random.nextInt(15),
            !longRunning,
            urgent,
            JobPhase.SUBMITTED)
        .withOptions(options);
  }

  private void submit(int nowMs) {
    String name = "job-" + jobs++;
    Job job = job();
    waiting.put(name, job);
    scheduler.submit(name, job, nowMs);
  }

  private void endAttempts(int nowMs) {
    for (Map.Entry<String, Integer> entry : Map.copyOf(endsAtMs).entrySet()) {
      if (entry.getValue() <= nowMs) {
        endsAtMs.remove(entry.getKey());
        scheduler.attemptEnded(entry.getKey(), EndReason.SUCCEEDED, nowMs);
      }
    }
  }

  private void decide(int nowMs) {
    boolean idle = scheduler.isLessThanHalfInUse();
    for (Decision decision : scheduler.decide(nowMs)) {
      if (decision instanceof Decision.Start start) {
        waiting.remove(start.jobName());
        roomSinceMs.remove(start.jobName());
        overtakes += idle && !waiting.isEmpty() ? 1 : 0;
        int runMs = (int) (start.job().declaredSeconds() * 1000 * (0.5 + random.nextDouble()));
        if (!start.job().options().longRunning()) {
          endsAtMs.put(start.attemptId(), nowMs + runMs);
        }
      } else if (decision instanceof Decision.Stop stop) {
        endsAtMs.put(stop.attemptId(), nowMs + STEP_MS);
      }
    }
  }

  private boolean hasRoomTwiceOver(Job job) {
    List<List<HostState>> areas = new ArrayList<>();
    if (job.adjacency() == Adjacency.ANY) {
      areas.add(List.copyOf(scheduler.cluster().hosts()));
    } else {
      scheduler.cluster().racks().forEach(rack -> areas.add(List.copyOf(rack.hosts())));
    }
    int tasks = 2 * job.tasks();
    return areas.stream()
        .anyMatch(
            hosts ->
                GangFitter.countFitting(
                        hosts,
                        tasks,
                        job.taskAmount(),
                        host -> host.capacityNowFor(job, host.free()))
                    >= tasks);
  }

  private void check(long seed, int nowMs) {
    boolean idle = scheduler.isLessThanHalfInUse();
    for (Map.Entry<String, Job> entry : waiting.entrySet()) {
      String name = entry.getKey();
      Job job = entry.getValue();
      if (!(idle || job.options().longRunning()) || !hasRoomTwiceOver(job)) {
        roomSinceMs.remove(name);
        continue;
      }
      int sinceMs = roomSinceMs.computeIfAbsent(name, key -> nowMs);
      assertWithMessage("seed %s, %s ms: %s waits: %s", seed, nowMs, job, scheduler.reason(name))
          .that(nowMs - sinceMs)
          .isAtMost(PROMISED_MS);
    }
  }

  private void play(long seed) {
    start(seed);
    int meanGapMs = 100 + random.nextInt(1500);
    int nextMs = 0;
    for (int nowMs = STEP_MS; nowMs <= DURATION_MS; nowMs += STEP_MS) {
      endAttempts(nowMs);
      while (nextMs <= nowMs) {
        submit(nowMs);
        nextMs += 1 + random.nextInt(2 * meanGapMs);
      }
      decide(nowMs);
      check(seed, nowMs);
    }
  }

  @Test
  void workWithRoomStartsWhateverStandsBeforeIt() {
    for (long seed = 1; seed <= SCHEDULES; seed++) {
      play(seed);
    }
    // Otherwise no job ever started beside one that waited.
    assertThat(overtakes).isGreaterThan(SCHEDULES);
  }
}
