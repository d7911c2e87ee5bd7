package org.wheatwall.entry.operator;

import java.util.concurrent.CompletableFuture;

/** Requests the explanation of a job from the decider of its zone. */
public interface JobExplainer {
  /** Returns a JSON document that explains the job's state. */
  CompletableFuture<byte[]> explain(String jobName, String zone);
}
