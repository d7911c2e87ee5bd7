package org.wheatwall.core.job.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import org.wheatwall.core.job.model.Job;

/**
 * Learns, per workspace and value of the label {@value #CLASS_LABEL}, by what factor run times
 * differ from their declarations. The declaration is the prior: with few observations the factor
 * stays near 1.
 */
public final class RunTimeEstimator {
  /** Label that groups jobs of alike behaviour. */
  public static final String CLASS_LABEL = "class";

  private static final int MAX_GROUPS = 4096;
  private static final double PRIOR_WEIGHT = 2;
  private static final double DECAY = 0.95;
  private static final double MIN_RATIO = 0.01;
  private static final double MAX_RATIO = 100;

  private final Map<String, Learned> groups =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Learned> eldest) {
          return size() > MAX_GROUPS;
        }
      };

  private final boolean learningEnabled;

  /**
   * Creates an estimator that has seen nothing.
   *
   * @param learns whether it learns; otherwise declarations are taken as they are
   */
  public RunTimeEstimator(boolean learns) {
    this.learningEnabled = learns;
  }

  private record Learned(double weight, double logRatioSum) {}

  /** Notes that a job ran for {@code actualSeconds} until it succeeded. */
  public void observe(Job job, double actualSeconds) {
    if (!learningEnabled) {
      return;
    }
    double ratio = Math.max(MIN_RATIO, Math.min(MAX_RATIO, actualSeconds / job.declaredSeconds()));
    Learned old = groups.getOrDefault(group(job), new Learned(0, 0));
    groups.put(
        group(job),
        new Learned(old.weight() * DECAY + 1, old.logRatioSum() * DECAY + Math.log(ratio)));
  }

  /** Returns the expected run time in seconds. */
  public double expectedSeconds(Job job) {
    Learned learned = groups.get(group(job));
    if (learned == null) {
      return job.declaredSeconds();
    }
    double meanLogRatio = learned.logRatioSum() / (learned.weight() + PRIOR_WEIGHT);
    return job.declaredSeconds() * Math.exp(meanLogRatio);
  }

  private static String group(Job job) {
    return job.workspace() + "/" + job.labels().get(CLASS_LABEL).orElse("");
  }
}
