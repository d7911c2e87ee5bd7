package org.wheatwall.entry.batch;

import org.wheatwall.entry.batch.log.KeyedLog;
import org.wheatwall.entry.batch.peer.HolderPort;
import org.wheatwall.entry.batch.peer.ReachabilityPort;
import org.wheatwall.entry.batch.permit.PermitPort;
import org.wheatwall.entry.batch.worker.WorkerDirectory;
import org.wheatwall.entry.batch.worker.WorkerPort;

/**
 * External services that the batch plane uses.
 *
 * @param log the job log
 * @param workers sends commands to workers
 * @param directory lists workers
 * @param permits decides which workers may run a step, for queues that require it
 * @param holders queries other hosts whether they act on the term
 * @param reachability asks other hosts which workers they reach
 * @param evacuations the availability zones in which no task may start
 */
public record BatchPorts(
    KeyedLog log,
    WorkerPort workers,
    WorkerDirectory directory,
    PermitPort permits,
    HolderPort holders,
    ReachabilityPort reachability,
    ZoneEvacuations evacuations) {}
