package org.wheatwall.entry.batch;

import java.util.concurrent.Executor;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.entry.batch.worker.WorkerDirectory;

/** Tells of workers on the loop of a host, behind what came before. */
final class LoopWorkerDirectory implements WorkerDirectory {
  private final WorkerDirectory delegate;
  private final Executor loop;

  LoopWorkerDirectory(WorkerDirectory directory, Executor loop) {
    this.delegate = directory;
    this.loop = loop;
  }

  @Override
  public void open(Listener listener) {
    delegate.open(
        new Listener() {
          @Override
          public void listed(WorkerInfo worker) {
            loop.execute(() -> listener.listed(worker));
          }

          @Override
          public void unlisted(String worker) {
            loop.execute(() -> listener.unlisted(worker));
          }

          @Override
          public void contested(String worker) {
            loop.execute(() -> listener.contested(worker));
          }
        });
  }

  @Override
  public void close() {
    delegate.close();
  }
}
