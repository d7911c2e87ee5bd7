package org.wheatwall.entry.job;

import java.util.List;
import java.util.Optional;
import org.wheatwall.core.gang.model.WorkerOperation;
import org.wheatwall.core.gang.model.WorkerReport;

/**
 * Shortens what is asked of a worker on which nothing changes: one renewal for all its parts in
 * place of one each. Most exchanges of a large zone are of this kind.
 */
final class RenewalCoalescing {
  private RenewalCoalescing() {}

  /** Returns whether {@code operations} are one renewal of everything. */
  static boolean isRenewAll(List<WorkerOperation> operations) {
    return operations.size() == 1 && operations.get(0).kind() == WorkerOperation.Kind.RENEW_ALL;
  }

  /** Returns one renewal of everything if that is what {@code operations} come to. */
  static List<WorkerOperation> coalesce(
      List<WorkerOperation> operations, Optional<WorkerReport> known) {
    boolean counted = known.map(report -> report.version() != 0).orElse(false);
    boolean every = known.map(report -> report.tasks().size() == operations.size()).orElse(false);
    if (operations.isEmpty() || !counted || !every) {
      return operations;
    }
    long leaseMs = operations.get(0).leaseMs();
    for (WorkerOperation operation : operations) {
      boolean plain =
          operation.kind() == WorkerOperation.Kind.RENEW
              && operation.leaseMs() == leaseMs
              && known.get().task(operation.attemptId()).isPresent();
      if (!plain) {
        return operations;
      }
    }
    return List.of(WorkerOperation.renewAll(leaseMs));
  }
}
