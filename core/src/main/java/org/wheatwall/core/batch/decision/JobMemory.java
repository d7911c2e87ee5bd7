package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.Map;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.StepSpec;

/**
 * Estimates the heap that the jobs in the log need on the host that decides, and limits it. Every
 * entry host derives the same sums from its replica, so a job is refused at all of them alike, and
 * what one accepts can be held by whichever host takes the term over.
 *
 * <p>A workspace may hold as much as all workspaces together leave free, so that there is always
 * room for the jobs of another one.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
public final class JobMemory {
  // Part of the heap that jobs may need; callers' calls, running tasks and workers need the rest.
  private static final int HEAP_PARTS = 12;
  private static final int HEAP_PARTS_OF_JOBS = 5;

  private static final int BYTES_OF_JOB = 1500;
  private static final int BYTES_OF_STEP = 250;
  private static final int BYTES_OF_DEPENDENCY = 8;
  private static final int BYTES_OF_CHARACTER = 2;
  // A group of each step that is ready waits in the scheduler's queue.
  private static final int BYTES_OF_WAITING_GROUP = 1000;

  private final long limitBytes;
  private final Map<String, Held> heldByJob = new HashMap<>();
  private final Map<String, Long> bytesByWorkspace = new HashMap<>();
  private long totalBytes;

  private record Held(String workspace, long bytes) {}

  /**
   * Creates an estimate without jobs.
   *
   * @param limitBytes heap that all jobs together may need
   */
  public JobMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Returns an estimate that is limited to a part of a heap. */
  public static JobMemory ofHeap(long heapBytes) {
    return new JobMemory(heapBytes / HEAP_PARTS * HEAP_PARTS_OF_JOBS);
  }

  /** Returns the heap that a job needs until it ends, bytes. */
  public static long bytesOf(BatchJob job) {
    return bytesOfDefinition(job) + (long) job.steps().size() * BYTES_OF_WAITING_GROUP;
  }

  private static long bytesOfDefinition(BatchJob job) {
    long bytes = BYTES_OF_JOB + bytesOf(job.specification());
    for (StepSpec step : job.steps()) {
      bytes += BYTES_OF_STEP + bytesOf(step.hostLabel().orElse(""));
      bytes += bytesOf(step.dataRack().orElse(""));
      bytes += (long) step.after().size() * BYTES_OF_DEPENDENCY;
    }
    return bytes;
  }

  private static long bytesOf(String text) {
    return (long) text.length() * BYTES_OF_CHARACTER;
  }

  /** Counts a job that was accepted, or counts it anew after it has ended. */
  public void put(BatchJob job, boolean ended) {
    remove(job.id());
    Held held = new Held(job.workspace(), ended ? bytesOfDefinition(job) : bytesOf(job));
    heldByJob.put(job.id(), held);
    add(held.workspace(), held.bytes());
  }

  /** Removes a job whose records were dropped. */
  public void remove(String jobId) {
    Held held = heldByJob.remove(jobId);
    if (held != null) {
      add(held.workspace(), -held.bytes());
    }
  }

  /** Removes all jobs. */
  public void clear() {
    heldByJob.clear();
    bytesByWorkspace.clear();
    totalBytes = 0;
  }

  private void add(String workspace, long bytes) {
    totalBytes += bytes;
    bytesByWorkspace.merge(workspace, bytes, (one, other) -> one + other == 0 ? null : one + other);
  }

  /** Returns whether one more job can be held. */
  public boolean hasRoomFor(BatchJob job) {
    return heldBy(job.workspace()) + bytesOf(job) <= limitBytes - totalBytes;
  }

  /** Returns the heap that the jobs of a workspace need, bytes. */
  public long heldBy(String workspace) {
    return bytesByWorkspace.getOrDefault(workspace, 0L);
  }

  /** Returns the heap that all jobs need, bytes. */
  public long totalBytes() {
    return totalBytes;
  }

  /** Returns the heap that all jobs together may need, bytes. */
  public long limitBytes() {
    return limitBytes;
  }
}
