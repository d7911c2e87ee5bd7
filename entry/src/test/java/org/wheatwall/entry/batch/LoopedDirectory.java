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
    directory.close();
  }
}
