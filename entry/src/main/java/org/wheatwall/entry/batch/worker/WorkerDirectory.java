package org.wheatwall.entry.batch.worker;

import org.wheatwall.core.batch.model.WorkerInfo;

/** The platform's list of workers. */
public interface WorkerDirectory {
  /** Starts to notify {@code listener} of all workers, and of every change. */
  void open(Listener listener);

  /** Stops the notifications. */
  void close();

  /** Receives changes of the list, on the decision loop. */
  interface Listener {
    /** Called when a worker is listed or its entry has changed. */
    void onWorkerListed(WorkerInfo worker);

    /** Called when a worker is no longer listed; its tasks may still run. */
    void onWorkerUnlisted(String worker);

    /**
     * Called when another worker is listed at the address of this one, so one of the two is gone.
     * The list does not show which one, since its entries may be written late; only a response of
     * the worker does.
     */
    void onAddressConflict(String worker);
  }
}
