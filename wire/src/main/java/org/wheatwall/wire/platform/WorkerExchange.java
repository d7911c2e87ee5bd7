package org.wheatwall.wire.platform;

import java.util.List;
import org.wheatwall.core.gang.model.WorkerOperation;

/**
 * What a decider asks of a worker. The worker answers with its whole inventory, or says that the
 * decider has it already.
 *
 * @param epoch epoch of the decider; a worker obeys no lower one than it has obeyed
 * @param validUntilMs time on the worker's clock after which nothing of this may take effect, 0 if
 *     the decider does not know the worker's clock yet; then only reading is allowed
 * @param operations what to do, in order
 * @param knownVersion version of the inventory that the decider has, 0 if it wants it whole
 */
public record WorkerExchange(
    long epoch, long validUntilMs, List<WorkerOperation> operations, long knownVersion) {
  /** Asks for the whole inventory and nothing else. */
  public static final WorkerExchange READ_ALL = new WorkerExchange(0, 0, List.of(), 0);

  /** Copies the list. */
  public WorkerExchange {
    operations = List.copyOf(operations);
  }
}
