package org.wheatwall.app.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.decision.Cluster;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;
import org.wheatwall.core.job.policy.RackPacking;
import org.wheatwall.core.job.policy.SpeedDemand;

/**
 * Measures the processor time of one search for a placement on hosts of three speeds of which most
 * are in use, with and without a demand on their speed.
 */
final class PlacementBench {
  private static final int[] SIZES = {1000, 4000, 17_000};
  private static final int HOSTS_PER_RACK = 12;
  private static final double[] RUN_TIME_RATIOS = {1 / 0.6, 1, 1 / 1.6};
  private static final double FREE_SHARE = 0.3;
  private static final int WARM_UP = 20;
  private static final int SEARCHES = 5000;
  private static final int SEARCHES_IN_VAIN = 50;
  private static final ResourceAmount HOST = new ResourceAmount(32_000, 131_072, 8);

  private final Cluster cluster = new Cluster();
  private final RackPacking rule = new RackPacking();

  private PlacementBench(int hosts) {
    Random random = new Random(1);
    for (int i = 0; i < hosts; i++) {
      String name = "host-" + i;
      cluster.add(new WorkerHost(name, "zone", "rack-" + i / HOSTS_PER_RACK, HOST));
      cluster.setRunTimeRatio(name, RUN_TIME_RATIOS[i % RUN_TIME_RATIOS.length]);
    }
    for (int i = 0; i < hosts; i++) {
      String name = "host-" + i;
      for (int task = 0; task < HOST.accelerators(); task++) {
        if (random.nextDouble() >= FREE_SHARE) {
          ResourceAmount amount = new ResourceAmount(1000, 100, 1);
          cluster.hold(name + "." + task, new Placement(List.of(name)), amount, true);
        }
      }
    }
  }

  static List<Slope> run() {
    Job gang = job(4, 1);
    Job single = job(1, 1);
    Job large = job(5, 4);
    SpeedDemand inTime = new SpeedDemand(1.5, true);
    return List.of(
        slope("a gang with little slack", gang, Optional.of(inTime)),
        slope("a gang, speeds not considered", gang, Optional.empty()),
        slope("a single task with slack", single, Optional.of(new SpeedDemand(2, false))),
        slope("a single task, speeds not considered", single, Optional.empty()),
        slope("a gang that fits nowhere in time", large, Optional.of(inTime)),
        slope("a gang that fits nowhere, speeds not considered", large, Optional.empty()));
  }

  private static Slope slope(String name, Job job, Optional<SpeedDemand> demand) {
    List<LineFit.Point> points = new ArrayList<>();
    for (int size : SIZES) {
      PlacementBench bench = new PlacementBench(size);
      boolean fits = bench.search(job, demand, WARM_UP);
      int searches = fits ? SEARCHES : SEARCHES_IN_VAIN;
      bench.search(job, demand, searches / 10);
      double micros = Meters.cpuMicros(() -> bench.search(job, demand, searches));
      points.add(new LineFit.Point(size, micros / searches));
    }
    return Slope.of("placement of " + name, "worker", "us cpu", points);
  }

  // Returns whether the job fits.
  private boolean search(Job job, Optional<SpeedDemand> demand, int times) {
    boolean fits = false;
    for (int i = 0; i < times; i++) {
      fits =
          demand
              .map(speed -> rule.place(job, cluster, speed))
              .orElseGet(() -> rule.place(job, cluster))
              .isPresent();
    }
    return fits;
  }

  private static Job job(int tasks, int accelerators) {
    return new Job(
        new Labels(Map.of()),
        "workspace",
        "zone",
        Optional.empty(),
        tasks,
        new ResourceAmount(1000, 100, accelerators),
        tasks > 1 ? Adjacency.SAME_RACK : Adjacency.ANY,
        2,
        true,
        false,
        JobPhase.SUBMITTED);
  }
}
