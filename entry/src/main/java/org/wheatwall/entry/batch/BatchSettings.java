package org.wheatwall.entry.batch;

import java.util.Objects;
import org.wheatwall.core.batch.decision.TermSettings;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.job.model.SchedulingFeatures;

/**
 * Settings of the batch plane of an entry host.
 *
 * @param host name of this host
 * @param address address of this host, unique among running processes
 * @param zone availability zone of this host
 * @param peerAddress IP address and port at which this host accepts calls that other entry hosts
 *     forward
 * @param leaseMs longest lease of the tasks on a worker, milliseconds
 * @param retentionMs how long an ended job is kept, milliseconds
 * @param term timing of a decider's term
 * @param mechanisms which mechanisms are enabled
 * @param features settings of the scheduling features that are switched on
 */
public record BatchSettings(
    String host,
    String address,
    String zone,
    String peerAddress,
    int leaseMs,
    int retentionMs,
    TermSettings term,
    Mechanisms mechanisms,
    SchedulingFeatures features) {
  /** Creates settings without features. */
  public BatchSettings(
      String host,
      String address,
      String zone,
      String peerAddress,
      int leaseMs,
      int retentionMs,
      TermSettings term,
      Mechanisms mechanisms) {
    this(
        host,
        address,
        zone,
        peerAddress,
        leaseMs,
        retentionMs,
        term,
        mechanisms,
        SchedulingFeatures.NONE);
  }

  /** Validates. */
  public BatchSettings {
    Objects.requireNonNull(host);
    Objects.requireNonNull(address);
    Objects.requireNonNull(zone);
    Objects.requireNonNull(peerAddress);
    Objects.requireNonNull(term);
    Objects.requireNonNull(mechanisms);
    Objects.requireNonNull(features);
    Names.requireRange("leaseMs", leaseMs, 1000, 600_000);
    Names.requireRange("retentionMs", retentionMs, 1000, Integer.MAX_VALUE);
  }
}
