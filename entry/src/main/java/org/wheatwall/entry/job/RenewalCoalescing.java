package org.wheatwall.entry.job;

import java.util.List;
import java.util.Optional;
import org.wheatwall.core.gang.model.WorkerOperation;
import org.wheatwall.core.gang.model.WorkerReport;

/**
 * Replaces the renewals of all parts on a worker by a single operation. In a large zone most
 * exchanges renew every part and change nothing else.
 */
final class RenewalCoalescing {
  private RenewalCoalescing() {}

  /** Returns whether {@code operations} consist of a single renewal of all parts. */
  static boolean isRenewAll(List<WorkerOperation> operations) {
    return operations.size() == 1 && operations.get(0).kind() == WorkerOperation.Kind.RENEW_ALL;
  }

  /**
   * Returns a single renewal of all parts if {@code operations} renew every part of the worker's
   * last report with the same lease, else {@code operations} unchanged.
   */
  static List<WorkerOperation> coalesce(
      List<WorkerOperation> operations, Optional<WorkerReport> lastReport) {
    boolean hasVersion = lastReport.map(report -> report.version() != 0).orElse(false);
    boolean coversAllParts =
        lastReport.map(report -> report.tasks().size() == operations.size()).orElse(false);
    if (operations.isEmpty() || !hasVersion || !coversAllParts) {
      return operations;
    }
    long leaseMs = operations.get(0).leaseMs();
    for (WorkerOperation operation : operations) {
      boolean isKnownRenewal =
          operation.kind() == WorkerOperation.Kind.RENEW
              && operation.leaseMs() == leaseMs
              && lastReport.get().task(operation.attemptId()).isPresent();
      if (!isKnownRenewal) {
        return operations;
      }
    }
    return List.of(WorkerOperation.renewAll(leaseMs));
  }
}
