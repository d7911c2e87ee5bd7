package org.wheatwall.entry.batch;

import org.wheatwall.entry.batch.log.KeyedLog;
import org.wheatwall.entry.batch.peer.HolderPort;
import org.wheatwall.entry.batch.permit.PermitPort;
import org.wheatwall.entry.batch.worker.WorkerDirectory;
import org.wheatwall.entry.batch.worker.WorkerPort;

/**
 * What the batch plane reaches outside its process.
 *
 * @param log the job log
 * @param workers takes orders
 * @param directory lists workers
 * @param permits tells which workers may run a step, for queues that need it
 * @param holders asks other hosts whether they act on the term
 */
public record BatchPorts(
    KeyedLog log,
    WorkerPort workers,
    WorkerDirectory directory,
    PermitPort permits,
    HolderPort holders) {}
