package org.wheatwall.app.compare;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Generates a job stream from a seed: bursts of small and of large jobs, run times far from the
 * declared ones, cancellations, and jobs that never fit.
 */
final class JobStream {
  private static final String ZONE = "zone-1";
  private static final int WORKSPACES = 4;
  private static final double MEAN_RUN_SECONDS = 1800;

  private final StreamSpec spec;
  private final SplittableRandom random;
  private double acceleratorSeconds;

  JobStream(StreamSpec spec) {
    this.spec = spec;
    this.random = new SplittableRandom(spec.seed());
  }

  /** Returns the jobs in order of arrival. */
  List<StreamJob> generate() {
    List<StreamJob> jobs = new ArrayList<>(spec.jobs());
    boolean largeBurst = false;
    double atSeconds = 0;
    double capacity = (double) spec.hosts() * spec.acceleratorsPerHost() * spec.load() / 100;
    for (int i = 0; i < spec.jobs(); i++) {
      if (random.nextInt(20) == 0) {
        largeBurst = !largeBurst;
      }
      double before = acceleratorSeconds;
      StreamJob job = job(i, largeBurst, (long) (atSeconds * 1000));
      jobs.add(job);
      // The mean gap is the time in which the zone can do this job's work; its jitter forms bursts.
      double gap = (acceleratorSeconds - before) / capacity;
      atSeconds += gap * (random.nextInt(4) == 0 ? 3.4 : 0.2);
    }
    return jobs;
  }

  private StreamJob job(int index, boolean largeBurst, long arrivalMs) {
    boolean large = random.nextInt(100) < (largeBurst ? 40 : 5);
    boolean neverFits = random.nextInt(200) == 0;
    int tasks = large ? Math.min(spec.hostsPerRack(), 4) : 1;
    int accelerators = large ? spec.acceleratorsPerHost() : 1 + random.nextInt(4);
    if (neverFits) {
      accelerators = spec.acceleratorsPerHost() + 1;
    }
    double runSeconds = Math.min(6 * 3600, -Math.log(1 - random.nextDouble()) * MEAN_RUN_SECONDS);
    long runTimeMs = Math.max(1000, (long) (runSeconds * 1000));
    String workspace = "workspace-" + random.nextInt(WORKSPACES);
    // Each job class misdeclares its run time by its own factor, from 1/4 to 16.
    int jobClass = random.nextInt(4);
    double declared =
        runSeconds * Math.pow(2, 2 * jobClass - 2) * (0.7 + 0.6 * random.nextDouble());
    Job job =
        new Job(
            new Labels(Map.of("class", "class-" + jobClass)),
            workspace,
            ZONE,
            Optional.empty(),
            tasks,
            new ResourceAmount(accelerators, 1024, accelerators),
            large ? Adjacency.SAME_RACK : Adjacency.ANY,
            (int) Math.max(1, Math.min(86_400, declared)),
            random.nextBoolean(),
            false,
            JobPhase.SUBMITTED);
    if (!neverFits) {
      acceleratorSeconds += (double) tasks * accelerators * runTimeMs / 1000;
    }
    long cancelMs = random.nextInt(50) == 0 ? arrivalMs + 600_000 : -1;
    return new StreamJob("job-" + index, job, arrivalMs, runTimeMs, cancelMs);
  }
}
