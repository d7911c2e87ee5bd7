package org.wheatwall.core.job.decision;

/**
 * Classes of hosts of like speed, by their run time relative to the median host. Class 0 is the
 * fastest; each step is a factor of 1.25 in run time, about what estimates can tell apart.
 */
public final class RunTimeClass {
  /** Number of classes. */
  public static final int COUNT = 8;

  private static final double STEP = 1.25;
  // The class that has a ratio of 1 in its middle.
  private static final int MEDIAN = 3;

  private RunTimeClass() {}

  /** Returns the class of hosts with the given run time ratio, which is positive. */
  public static int of(double runTimeRatio) {
    double steps = Math.rint(Math.log(runTimeRatio) / Math.log(STEP));
    return (int) Math.max(0, Math.min(COUNT - 1, MEDIAN + steps));
  }

  /** Returns whether every host of a class has at most the given run time ratio. */
  public static boolean isEntirelyWithin(int runTimeClass, double maxRatio) {
    return runTimeClass < of(maxRatio);
  }
}
