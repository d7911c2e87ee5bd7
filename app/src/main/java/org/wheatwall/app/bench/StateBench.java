package org.wheatwall.app.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.HdrHistogram.Histogram;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Resource;
import org.wheatwall.core.configuration.decision.ConfigurationReplica;
import org.wheatwall.core.configuration.model.Change;
import org.wheatwall.core.configuration.model.ResourceKey;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.job.decision.EndReason;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;
import org.wheatwall.core.job.model.Workspace;
import org.wheatwall.core.request.decision.StepLedger;
import org.wheatwall.core.request.model.GrantId;
import org.wheatwall.core.request.model.RunnerResponse;
import org.wheatwall.core.request.model.StepState;
import org.wheatwall.wire.json.LogRecord;
import org.wheatwall.wire.json.LogRecordCodec;

/** Measures the memory of each role's state and the duration of scheduling decisions. */
final class StateBench {
  private static final String ZONE = "zone-1";
  private static final ResourceAmount HOST = new ResourceAmount(32, 131_072, 8);
  private static final int[] OBJECT_COUNTS = {10_000, 20_000, 40_000, 80_000};
  private static final int[] ZONE_SIZES = {30, 325, 1300, 5000, 17_000};
  private static final int RESPONSE_BYTES = 512;
  private static final int DECISIONS = 400;
  private static final int FREE_HOST_DIVISOR = 4;

  private StateBench() {}

  static List<Slope> run() {
    List<Slope> slopes = new ArrayList<>();
    slopes.add(
        Slope.of(
            "configuration replica: a job object",
            "object",
            "B",
            Meters.heap(OBJECT_COUNTS, StateBench::replica)));
    slopes.add(
        Slope.of(
            "configuration replica: a workspace",
            "object",
            "B",
            Meters.heap(OBJECT_COUNTS, StateBench::workspaces)));
    slopes.add(Slope.of("replay of a change", "change", "us cpu", replayTimes()));
    slopes.add(
        Slope.of("decider: a worker", "worker", "B", Meters.heap(OBJECT_COUNTS, StateBench::zone)));
    slopes.add(
        Slope.of(
            "decider: a running task",
            "task",
            "B",
            Meters.heap(OBJECT_COUNTS, StateBench::runningTasks)));
    slopes.add(
        Slope.of(
            "decider: a waiting job", "job", "B", Meters.heap(OBJECT_COUNTS, StateBench::waiting)));
    slopes.add(
        Slope.of(
            "step keeper: a kept answer of 512 B",
            "key",
            "B",
            Meters.heap(OBJECT_COUNTS, StateBench::ledger)));
    slopes.add(Slope.of("decision, 99th percentile", "worker", "us", decisionTimes()));
    return slopes;
  }

  /** Returns the size of the log record of one change of a job, bytes. */
  static int recordBytes() {
    return LogRecordCodec.write(LogRecord.ofChanges(List.of(change(OBJECT_COUNTS[0])))).length;
  }

  private static Change change(int index) {
    return new Change(
        "change-identifier-of-usual-length-" + index,
        new ResourceKey(ResourceKind.JOBS, "job-" + index),
        0,
        index - 1L,
        Optional.of(job(1, 1)),
        Optional.empty());
  }

  private static Job job(int tasks, int accelerators) {
    return new Job(
        Labels.NONE,
        "workspace",
        ZONE,
        Optional.empty(),
        tasks,
        new ResourceAmount(1, 64, accelerators),
        Adjacency.ANY,
        600,
        true,
        false,
        JobPhase.SUBMITTED);
  }

  private static ConfigurationReplica replica(int objects) {
    ConfigurationReplica replica = new ConfigurationReplica((c, r) -> Optional.empty());
    for (int i = 0; i < objects; i++) {
      // The codec gives every object its own strings, as on a real host.
      byte[] record = LogRecordCodec.write(LogRecord.ofChanges(List.of(change(i))));
      replica.apply(i, LogRecordCodec.read(record).changes());
    }
    return replica;
  }

  private static ConfigurationReplica workspaces(int objects) {
    ConfigurationReplica replica = new ConfigurationReplica((c, r) -> Optional.empty());
    for (int i = 0; i < objects; i++) {
      ResourceKey key = new ResourceKey(ResourceKind.WORKSPACES, "workspace-" + i);
      Optional<Resource> value = Optional.of(new Workspace(Labels.NONE, i, 1, 0));
      replica.apply(i, List.of(new Change("change-" + i, key, 0, i - 1L, value, Optional.empty())));
    }
    return replica;
  }

  private static List<LineFit.Point> replayTimes() {
    replayMicros(OBJECT_COUNTS[0]);
    List<LineFit.Point> points = new ArrayList<>();
    for (int size : OBJECT_COUNTS) {
      points.add(new LineFit.Point(size, replayMicros(size)));
    }
    return points;
  }

  private static double replayMicros(int size) {
    List<byte[]> records = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      records.add(LogRecordCodec.write(LogRecord.ofChanges(List.of(change(i)))));
    }
    ConfigurationReplica replica = new ConfigurationReplica((c, r) -> Optional.empty());
    return Meters.cpuMicros(
        () -> {
          for (int i = 0; i < records.size(); i++) {
            replica.apply(i, LogRecordCodec.read(records.get(i)).changes());
          }
        });
  }

  private static Scheduler zone(int hosts) {
    Scheduler scheduler = new Scheduler(SchedulerSettings.DEFAULT);
    for (int i = 0; i < hosts; i++) {
      scheduler.cluster().add(new WorkerHost("worker-" + i, ZONE, "rack-" + i / 8, HOST));
    }
    return scheduler;
  }

  private static Scheduler runningTasks(int tasks) {
    Scheduler scheduler = zone(1000);
    for (int i = 0; i < tasks; i++) {
      Placement placement = new Placement(List.of("worker-" + i % 1000));
      scheduler.adopt("attempt-" + i, "job-" + i, job(1, 1), 0, placement, 0);
    }
    return scheduler;
  }

  private static Scheduler waiting(int jobs) {
    Scheduler scheduler = zone(1);
    for (int i = 0; i < jobs; i++) {
      scheduler.submit("job-" + i, job(1, 1), i);
    }
    return scheduler;
  }

  private static StepLedger ledger(int keys) {
    StepLedger ledger = new StepLedger(600_000, 30_000, 1_000_000, Long.MAX_VALUE);
    for (int i = 0; i < keys; i++) {
      GrantId grant = new GrantId("entry-1-abcdefgh-" + i, 1);
      ledger.recordStart("key-of-usual-length-" + i, grant, i);
      RunnerResponse response =
          new RunnerResponse(200, "application/json", new byte[RESPONSE_BYTES]);
      ledger.recordOutcome(
          "key-of-usual-length-" + i, grant, StepState.ANSWERED, Optional.of(response), i);
    }
    return ledger;
  }

  // One job at a time in a zone that is three quarters full; each job ends before the next is
  // submitted.
  private static List<LineFit.Point> decisionTimes() {
    List<LineFit.Point> points = new ArrayList<>();
    for (int size : ZONE_SIZES) {
      decide(size);
      points.add(new LineFit.Point(size, decide(size)));
    }
    return points;
  }

  private static double decide(int hosts) {
    Scheduler scheduler = zone(hosts);
    for (int i = 0; i < hosts; i++) {
      if (i % FREE_HOST_DIVISOR != 0) {
        Placement placement = new Placement(List.of("worker-" + i));
        scheduler.adopt("attempt-" + i, "old-" + i, job(1, 8), 0, placement, 0);
      }
    }
    Histogram nanos = new Histogram(10_000_000_000L, 3);
    for (int i = 0; i < DECISIONS; i++) {
      String name = "job-" + i;
      scheduler.submit(name, job(1 + i % 4, 1 + i % 8), i);
      long before = System.nanoTime();
      scheduler.decide(i);
      nanos.recordValue(System.nanoTime() - before);
      scheduler
          .attemptOf(name)
          .ifPresent(id -> scheduler.attemptEnded(id, EndReason.SUCCEEDED, 10));
      scheduler.withdraw(name);
    }
    return nanos.getValueAtPercentile(99) / 1000.0;
  }
}
