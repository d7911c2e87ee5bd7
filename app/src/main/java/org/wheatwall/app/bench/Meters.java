package org.wheatwall.app.bench;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/** Measures heap and processor time of this process. */
final class Meters {
  private static final int GC_RUNS = 3;
  private static final double NANOS_PER_MICRO = 1000;

  private Meters() {}

  /** Returns the heap size in bytes of the object that {@code make} builds, for each size. */
  static List<LineFit.Point> heap(int[] sizes, IntFunction<Object> make) {
    // Warm-up: the first build loads classes.
    heapOf(sizes[0], make);
    List<LineFit.Point> points = new ArrayList<>();
    for (int size : sizes) {
      points.add(new LineFit.Point(size, heapOf(size, make)));
    }
    return points;
  }

  private static double heapOf(int size, IntFunction<Object> make) {
    long before = usedHeap();
    Object built = make.apply(size);
    try {
      return (double) (usedHeap() - before);
    } finally {
      Reference.reachabilityFence(built);
    }
  }

  /** Returns the processor time of all threads while {@code action} runs, in microseconds. */
  static double cpuMicros(Runnable action) {
    long before = cpuNanos();
    action.run();
    return (cpuNanos() - before) / NANOS_PER_MICRO;
  }

  private static long cpuNanos() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  private static long usedHeap() {
    for (int i = 0; i < GC_RUNS; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
