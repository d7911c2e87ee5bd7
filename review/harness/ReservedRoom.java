package review;

import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A runner is emptied and taken away. The lasting tasks that it ran are not started again for as
 * long as urgent jobs keep arriving, although the other runners have room for many of them.
 */
final class ReservedRoom {
  private static final String LARGE = "5c0e7a21d94b0001";
  private static final String MEDIUM = "5c0e7a21d94b0002";
  private static final String SMALL = "5c0e7a21d94b0003";
  // As many as there are runners.
  private static final int TASKS = 16;
  private static final int DRAIN_MS = 2500;
  private static final int WATCH_MS = 45_000;
  private static final int URGENT_GAP_MS = 700;
  private static final int SAMPLE_MS = 100;
  // A lasting task may have nothing running for 3 s from 6 s after its last run, if these 3 s and
  // the 4 s before them are calm, which they are contact_ms after the runner has left.
  private static final double IDLE_LIMIT_S = 6 + 3 + Platform.CONTACT_S + 4;

  // Not spread, so that any runner with room for a task may have it.
  private static final Jobs.Step SMALL_STEP = step(3700, 7600, 1, 0);

  public static void main(String[] arguments) {
    Scenario.main(arguments, ReservedRoom::isBroken);
  }

  private static boolean isBroken(Path recordFile, boolean trouble) throws Exception {
    try (Deployment deployment = new Deployment(recordFile, Runner.SOUND, "a", 1, TASKS)) {
      Record record = deployment.record;
      start(deployment, LARGE, step(13_000, 26_000, 4, 1));
      start(deployment, MEDIUM, step(3700, 7600, 1, 1));
      start(deployment, SMALL, SMALL_STEP);
      AtomicBoolean stop = new AtomicBoolean();
      Thread urgent = submitUrgent(deployment, stop);
      Http.sleep(8000);
      Runner leaving = runnerOf(deployment, SMALL + ".0.0.0");
      if (trouble) {
        record.line("runner %s drains", leaving.id());
        leaving.drain();
        Http.sleep(DRAIN_MS);
        leaving.leave();
        record.line("runner %s has left", leaving.id());
      }
      int leastRoom = Integer.MAX_VALUE;
      double until = record.seconds() + WATCH_MS / 1000.0;
      while (record.seconds() < until) {
        leastRoom = Math.min(leastRoom, deployment.room(SMALL_STEP));
        Http.sleep(SAMPLE_MS);
      }
      boolean broken = check(deployment, leastRoom);
      stop.set(true);
      urgent.join();
      return broken;
    }
  }

  private static Runner runnerOf(Deployment deployment, String task) {
    String id =
        deployment.jobs.runs().stream()
            .filter(run -> run.task.equals(task) && run.isOpen())
            .findFirst()
            .orElseThrow()
            .runner;
    return deployment.runners.stream().filter(runner -> runner.id().equals(id)).findFirst().get();
  }

  private static void start(Deployment deployment, String id, Jobs.Step step) throws Exception {
    deployment.submit(0, Platform.SWEEP, new Jobs.Job(id, List.of(step)));
    if (!deployment.awaitOpenRuns(id, TASKS, 10_000)) {
      throw new IllegalStateException("the lasting tasks do not start");
    }
  }

  private static Jobs.Step step(int cpu, int memory, int gpu, int spread) {
    return new Jobs.Step(TASKS, cpu, memory, gpu, 2500, 2500, false, true, "", spread);
  }

  private static Thread submitUrgent(Deployment deployment, AtomicBoolean stop) {
    Thread thread =
        new Thread(
            () -> {
              for (int i = 0; !stop.get(); i++) {
                Jobs.Step step =
                    new Jobs.Step(1, 3700, 7600, 1, 2500, 500, false, false, "", 0);
                Jobs.Job job = new Jobs.Job(String.format("5c0e7a21d94b1%03x", i), List.of(step));
                deployment.jobs.add(job);
                deployment.client.post(deployment.daemons.get(i % 3), Platform.CONFIRM, job);
                Http.sleep(URGENT_GAP_MS);
              }
            });
    thread.start();
    return thread;
  }

  private static boolean check(Deployment deployment, int leastRoom) {
    Record record = deployment.record;
    int waiting = 0;
    boolean tooLong = false;
    for (int index = 0; index < TASKS; index++) {
      String task = SMALL + ".0.0." + index;
      Jobs.Run last =
          deployment.jobs.runsOf(SMALL).stream()
              .filter(run -> run.task.equals(task))
              .max(Comparator.comparingInt(run -> run.number))
              .orElseThrow();
      double idle = last.isOpen() ? 0 : record.seconds() - last.endedAt;
      record.line(
          "task %s: %s",
          task, last.isOpen() ? "at work" : "nothing running for " + Math.round(idle) + " s");
      waiting += last.isOpen() ? 0 : 1;
      tooLong |= idle > IDLE_LIMIT_S;
    }
    record.line("%d tasks wait; %d or more had room all the time", waiting, leastRoom);
    return tooLong && leastRoom >= 2 * waiting;
  }
}
