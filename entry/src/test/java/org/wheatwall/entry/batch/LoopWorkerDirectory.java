package org.wheatwall.entry.batch;

import java.util.concurrent.Executor;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.entry.batch.worker.WorkerDirectory;

/** Notifies the listener on the decision loop of a host, after the tasks already queued there. */
final class LoopWorkerDirectory implements WorkerDirectory {
  private final WorkerDirectory delegate;
  private final Executor loop;

  LoopWorkerDirectory(WorkerDirectory delegate, Executor loop) {
    this.delegate = delegate;
    this.loop = loop;
  }

  @Override
  public void open(Listener listener) {
    delegate.open(
        new Listener() {
          @Override
          public void onWorkerListed(WorkerInfo worker) {
            loop.execute(() -> listener.onWorkerListed(worker));
          }

          @Override
          public void onWorkerUnlisted(String worker) {
            loop.execute(() -> listener.onWorkerUnlisted(worker));
          }

          @Override
          public void onAddressConflict(String worker) {
            loop.execute(() -> listener.onAddressConflict(worker));
          }
        });
  }

  @Override
  public void close() {
    delegate.close();
  }
}
