package org.wheatwall.entry.operator;

import java.util.concurrent.CompletableFuture;

/** Asks the decider of a job's zone about the job. */
public interface JobExplainer {
  /** Returns a JSON document that explains the job's state. */
  CompletableFuture<byte[]> explain(String jobName, String zone);
}
