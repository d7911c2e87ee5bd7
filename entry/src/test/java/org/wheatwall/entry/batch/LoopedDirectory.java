package org.wheatwall.entry.batch;

import java.util.concurrent.Executor;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.entry.batch.worker.WorkerDirectory;

/** Tells of workers on the loop of a host, behind what came before. */
final class LoopedDirectory implements WorkerDirectory {
  private final WorkerDirectory directory;
  private final Executor loop;

  LoopedDirectory(WorkerDirectory directory, Executor loop) {
    this.directory = directory;
    this.loop = loop;
  }

  @Override
  public void open(Listener listener) {
    directory.open(
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
    directory.close();
  }
}
