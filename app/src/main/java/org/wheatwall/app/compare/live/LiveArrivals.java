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
 * Draws the jobs of a live day: at 33 hosts 0.9 and 2.4 urgent gangs a second by turns of five
 * seconds, 0.42 long gangs and 0.4 wide jobs, at other sizes in proportion.
 */
final class LiveArrivals {
  private static final double USUAL_HOSTS = 33;
  private static final int TURN_MS = 5000;
  private static final double CALM = 0.9;
  private static final double BURST = 2.4;
  private static final double LONG = 0.42;
  private static final double WIDE = 0.4;
  private static final double SPREAD = 0.35;
  private static final int[] ACCELERATORS = {1, 2, 4, 4, 8};
  private static final int MOST_LIVE_TASKS = 5;
  private static final int MOST_LONG_TASKS = 9;
  private static final int LEAST_WIDE_TASKS = 4;
  private static final int MORE_WIDE_TASKS = 24;
  private static final int MAX_ATTEMPTS = 4;

  private final LiveSpec spec;
  private final Random random;
  private final List<LiveJob> jobs = new ArrayList<>();

  LiveArrivals(LiveSpec spec) {
    this.spec = spec;
    this.random = new Random(spec.seed());
  }

  /** Returns the jobs in the order of their arrival. */
  List<LiveJob> draw() {
    int lengthMs = spec.seconds() * 1000;
    for (int atMs = 0; atMs < lengthMs; atMs += 2 * TURN_MS) {
      arrive(LiveKind.LIVE, atMs, TURN_MS, CALM);
      arrive(LiveKind.LIVE, atMs + TURN_MS, TURN_MS, BURST);
      arrive(LiveKind.LONG, atMs, 2 * TURN_MS, LONG);
      arrive(LiveKind.WIDE, atMs, 2 * TURN_MS, WIDE);
    }
    jobs.sort(Comparator.comparingLong(LiveJob::arrivesMs));
    return jobs;
  }

  private void arrive(LiveKind kind, int fromMs, int lengthMs, double perSecond) {
    double rate = perSecond * spec.loadPercent() / 100 * spec.hosts() / USUAL_HOSTS;
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
    long worksMs = (long) (kind.meanMs() * Math.exp(random.nextGaussian() * SPREAD));
    StepSpec step =
        switch (kind) {
          case LIVE -> gang(kind, 1 + random.nextInt(MOST_LIVE_TASKS), false);
          case LONG -> gang(kind, 1 + random.nextInt(MOST_LONG_TASKS), random.nextBoolean());
          case WIDE -> step(kind, LEAST_WIDE_TASKS + random.nextInt(MORE_WIDE_TASKS), 1, false);
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
    return new LiveJob(kind, job, atMs, worksMs);
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
