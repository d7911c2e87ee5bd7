package org.wheatwall.wire.platform;

import java.util.List;
import org.wheatwall.core.gang.model.WorkerOperation;

/**
 * Request of a decider to a worker. The worker responds with its complete inventory, or that it is
 * unchanged since the version that the decider has.
 *
 * @param epoch epoch of the decider; a worker rejects epochs lower than one it has accepted
 * @param validUntilMs time on the worker's clock after which no operation may take effect, 0 if the
 *     decider does not know the worker's clock yet; then only reading is allowed
 * @param operations operations to execute, in order
 * @param knownVersion version of the inventory that the decider has, 0 to request all of it
 */
public record WorkerExchange(
    long epoch, long validUntilMs, List<WorkerOperation> operations, long knownVersion) {
  /** Requests the complete inventory and nothing else. */
  public static final WorkerExchange READ_ALL = new WorkerExchange(0, 0, List.of(), 0);

  /** Copies the list. */
  public WorkerExchange {
    operations = List.copyOf(operations);
  }
}
