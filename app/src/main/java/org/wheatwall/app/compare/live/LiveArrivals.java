package org.wheatwall.app.compare.live;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Generates the jobs of a live simulation. At 33 hosts these are 0.9 and 2.4 urgent gangs a second
 * in alternating phases of 5 s, 0.42 long gangs and 0.4 wide jobs a second; the rates are
 * proportional to the number of hosts.
 */
final class LiveArrivals {
  private static final double REFERENCE_HOSTS = 33;
  private static final int PHASE_MS = 5000;
  private static final double CALM_PER_SECOND = 0.9;
  private static final double BURST_PER_SECOND = 2.4;
  private static final double LONG_PER_SECOND = 0.42;
  private static final double WIDE_PER_SECOND = 0.4;
  private static final double RUN_TIME_SIGMA = 0.35;
  private static final int[] ACCELERATORS = {1, 2, 4, 4, 8};
  private static final int MAX_LIVE_TASKS = 5;
  private static final int MAX_LONG_TASKS = 9;
  private static final int MIN_WIDE_TASKS = 4;
  private static final int WIDE_TASKS_RANGE = 24;
  private static final int MAX_ATTEMPTS = 4;

  private final LiveSpec spec;
  private final Random random;
  private final List<LiveJob> jobs = new ArrayList<>();

  LiveArrivals(LiveSpec spec) {
    this.spec = spec;
    this.random = new Random(spec.seed());
  }

  /** Returns the jobs in order of arrival. */
  List<LiveJob> generate() {
    int lengthMs = spec.seconds() * 1000;
    for (int atMs = 0; atMs < lengthMs; atMs += 2 * PHASE_MS) {
      addArrivals(LiveKind.LIVE, atMs, PHASE_MS, CALM_PER_SECOND);
      addArrivals(LiveKind.LIVE, atMs + PHASE_MS, PHASE_MS, BURST_PER_SECOND);
      addArrivals(LiveKind.LONG, atMs, 2 * PHASE_MS, LONG_PER_SECOND);
      addArrivals(LiveKind.WIDE, atMs, 2 * PHASE_MS, WIDE_PER_SECOND);
    }
    jobs.sort(Comparator.comparingLong(LiveJob::arrivalMs));
    return jobs;
  }

  private void addArrivals(LiveKind kind, int fromMs, int lengthMs, double perSecond) {
    double rate = perSecond * spec.loadPercent() / 100 * spec.hosts() / REFERENCE_HOSTS;
    double atMs = fromMs;
    while (true) {
      atMs += -Math.log(1 - random.nextDouble()) / rate * 1000;
      if (atMs >= fromMs + lengthMs) {
        return;
      }
      jobs.add(job(kind, (long) atMs));
    }
  }

  private LiveJob job(LiveKind kind, long atMs) {
    long runTimeMs = (long) (kind.meanMs() * Math.exp(random.nextGaussian() * RUN_TIME_SIGMA));
    StepSpec step =
        switch (kind) {
          case LIVE -> gang(kind, 1 + random.nextInt(MAX_LIVE_TASKS), false);
          case LONG -> gang(kind, 1 + random.nextInt(MAX_LONG_TASKS), random.nextBoolean());
          case WIDE -> step(kind, MIN_WIDE_TASKS + random.nextInt(WIDE_TASKS_RANGE), 1, false);
        };
    BatchJob job =
        new BatchJob(
            String.format("%016x", jobs.size() + 1),
            kind.queue(),
            "service",
            "workspace-" + random.nextInt(4),
            "",
            List.of(step),
            Optional.empty(),
            kind.priority(),
            MAX_ATTEMPTS,
            atMs);
    return new LiveJob(kind, job, atMs, runTimeMs);
  }

  private StepSpec gang(LiveKind kind, int tasks, boolean checkpoints) {
    return step(kind, tasks, ACCELERATORS[random.nextInt(ACCELERATORS.length)], checkpoints);
  }

  private static StepSpec step(LiveKind kind, int tasks, int accelerators, boolean checkpoints) {
    boolean gang = kind != LiveKind.WIDE && tasks > 1;
    return new StepSpec(
        tasks,
        new ResourceAmount(1000, 1024, accelerators),
        kind.meanMs(),
        List.of(),
        checkpoints,
        gang,
        gang,
        Optional.empty(),
        Optional.empty(),
        0,
        false,
        HostSharing.ORDINARY);
  }
}
