package org.wheatwall.entry.batch;

import java.util.Objects;
import org.wheatwall.core.batch.decision.TermSettings;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.common.Names;

/**
 * Settings of the batch plane of an entry host.
 *
 * @param host name of this host
 * @param address address of this host, which no other living process has
 * @param zone availability zone of this host
 * @param peerAddress IP number and port at which other entry hosts pass calls on to this one
 * @param leaseMs longest lease of what runs on a worker, milliseconds
 * @param retentionMs how long an ended job is kept, milliseconds
 * @param term times of a decider's term
 * @param mechanisms which mechanisms work
 */
public record BatchSettings(
    String host,
    String address,
    String zone,
    String peerAddress,
    int leaseMs,
    int retentionMs,
    TermSettings term,
    Mechanisms mechanisms) {
  /** Validates. */
  public BatchSettings {
    Objects.requireNonNull(host);
    Objects.requireNonNull(address);
    Objects.requireNonNull(zone);
    Objects.requireNonNull(peerAddress);
    Objects.requireNonNull(term);
    Objects.requireNonNull(mechanisms);
    Names.requireRange("leaseMs", leaseMs, 1000, 600_000);
    Names.requireRange("retentionMs", retentionMs, 1000, Integer.MAX_VALUE);
  }
}
