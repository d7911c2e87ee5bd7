package org.wheatwall.entry.batch.worker;

import org.wheatwall.core.batch.model.WorkerInfo;

/** The platform's list of workers. */
public interface WorkerDirectory {
  /** Begins to tell {@code listener} of all workers, and of every change. */
  void open(Listener listener);

  /** Stops telling. */
  void close();

  /** Is told of workers, on the decision loop. */
  interface Listener {
    /** A worker is listed, or its entry has changed. */
    void listed(WorkerInfo worker);

    /** A worker is listed no longer; what runs there may go on. */
    void unlisted(String worker);

    /**
     * Another worker is listed at the address of this one, so one of them is gone. Which one does
     * not follow from the list, whose entries may be written late; only an answer tells.
     */
    void contested(String worker);
  }
}
