package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * A drawn fleet that is always busy with gangs and single tasks of drawn lengths, and reports the
 * progress of its tasks once per second.
 */
final class FleetSimulation {
  static final int REPORT_MS = 1000;

  private static final int MAX_SIBLINGS = 16;
  private static final double MEDIAN_WORK_MS = 2500;
  private static final double JOB_SPREAD = 0.3;
  private static final double LONG_JOB_SHARE = 0.03;
  private static final double LONG_JOB_FACTOR = 7;
  private static final int STEP_MS = 100;

  final RunTimeRatios ratios = new RunTimeRatios();
  final double[] trueRatios;
  private final int slots;
  private final double siblingSpread;
  private final Random random;
  private final Task[] running;
  long nowMs;
  private int steps;

  /** One task of a step; the tasks of a gang end together. */
  private static final class Task {
    private final String step;
    private final double workMs;
    private final List<Task> gang;
    private double doneMs;
    private RunTimeRatios.Run run;
    private long firstMs = -1;
    private int firstPercent;

    private Task(String step, double workMs, List<Task> gang) {
      this.step = step;
      this.workMs = workMs;
      this.gang = gang;
    }

    private int percent() {
      return (int) Math.min(100, doneMs * 100 / workMs);
    }

    private boolean done() {
      return doneMs >= workMs && gang.stream().allMatch(task -> task.doneMs >= task.workMs);
    }
  }

  FleetSimulation(double[] trueRatios, int tasksPerHost, double siblingSpread, long seed) {
    this.slots = tasksPerHost;
    this.trueRatios = trueRatios.clone();
    this.siblingSpread = siblingSpread;
    this.random = new Random(seed);
    this.running = new Task[trueRatios.length * tasksPerHost];
  }

  static String name(int host) {
    return "host-" + host;
  }

  void run(int seconds) {
    long endMs = nowMs + seconds * 1000L;
    while (nowMs < endMs) {
      startTasks();
      nowMs += STEP_MS;
      for (int host = 0; host < running.length; host++) {
        running[host].doneMs += STEP_MS / trueRatios[host / slots];
        // Hosts report at different times within a second.
        if ((nowMs / STEP_MS + host / slots) % (REPORT_MS / STEP_MS) == 0) {
          report(host);
        }
      }
      endTasks();
    }
  }

  private void startTasks() {
    List<Integer> free = new ArrayList<>();
    for (int host = 0; host < running.length; host++) {
      if (running[host] == null) {
        free.add(host);
      }
    }
    Collections.shuffle(free, random);
    while (!free.isEmpty()) {
      int siblings = Math.min(free.size(), 2 + random.nextInt(MAX_SIBLINGS - 1));
      boolean gang = random.nextBoolean();
      double length = random.nextDouble() < LONG_JOB_SHARE ? LONG_JOB_FACTOR : 1;
      double jobMs = MEDIAN_WORK_MS * length * Math.exp(random.nextGaussian() * JOB_SPREAD);
      List<Task> tasks = new ArrayList<>();
      String step = "step-" + steps++;
      for (int i = 0; i < siblings; i++) {
        double workMs = jobMs * Math.exp(random.nextGaussian() * siblingSpread);
        Task task = new Task(step, workMs, gang ? tasks : List.of());
        tasks.add(task);
        running[free.remove(free.size() - 1)] = task;
      }
    }
  }

  private void report(int host) {
    Task task = running[host];
    int percent = task.percent();
    if (task.run == null) {
      task.run = ratios.start(task.step, name(host / slots));
      task.firstMs = nowMs;
      task.firstPercent = percent;
    }
    int progressed = percent - task.firstPercent;
    if (percent < 97 && progressed >= 3) {
      double totalMs = (nowMs - task.firstMs) * 100.0 / progressed;
      ratios.measure(task.run, totalMs, 0.4 / progressed, nowMs);
    }
  }

  private void endTasks() {
    for (int host = 0; host < running.length; host++) {
      Task task = running[host];
      if (task.done()) {
        if (task.run != null) {
          ratios.finish(task.run, nowMs);
        }
        running[host] = null;
      }
    }
  }

  /** Returns the share of hosts whose applied ratio is outside 0.9 to 1.1. */
  double differentShare() {
    int different = 0;
    for (int host = 0; host < trueRatios.length; host++) {
      double ratio = ratios.ratio(name(host));
      different += ratio < 0.9 || ratio > 1.1 ? 1 : 0;
    }
    return (double) different / trueRatios.length;
  }

  /** Returns the root mean square of the error of the logarithm of the applied ratios. */
  double error() {
    double[] sorted = trueRatios.clone();
    Arrays.sort(sorted);
    double median = sorted[sorted.length / 2];
    double sum = 0;
    for (int host = 0; host < trueRatios.length; host++) {
      double difference = Math.log(ratios.ratio(name(host)) * median / trueRatios[host]);
      sum += difference * difference;
    }
    return Math.sqrt(sum / trueRatios.length);
  }
}
