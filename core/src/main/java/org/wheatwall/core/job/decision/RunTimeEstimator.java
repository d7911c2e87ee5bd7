package org.wheatwall.core.job.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import org.wheatwall.core.job.model.Job;

/**
 * Learns, per workspace and value of the label {@value #CLASS_LABEL}, the factor by which run times
 * differ from the declared ones. The declared run time is the prior: with few observations the
 * factor stays close to 1.
 */
public final class RunTimeEstimator {
  /** Label that groups jobs of similar behaviour. */
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
   * Creates an estimator without observations.
   *
   * @param learningEnabled whether it learns; otherwise declared run times are used unchanged
   */
  public RunTimeEstimator(boolean learningEnabled) {
    this.learningEnabled = learningEnabled;
  }

  private record Learned(double weight, double logRatioSum) {}

  /** Records that a job ran for {@code actualSeconds} until it succeeded. */
  public void observe(Job job, double actualSeconds) {
    if (!learningEnabled) {
      return;
    }
    double ratio = Math.max(MIN_RATIO, Math.min(MAX_RATIO, actualSeconds / job.declaredSeconds()));
    Learned previous = groups.getOrDefault(group(job), new Learned(0, 0));
    groups.put(
        group(job),
        new Learned(
            previous.weight() * DECAY + 1, previous.logRatioSum() * DECAY + Math.log(ratio)));
  }

  /** Returns the expected run time of a job, seconds. */
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
