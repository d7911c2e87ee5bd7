package org.wheatwall.entry.membership;

import java.util.Optional;

/**
 * A page of a snapshot that another entry host requests. It is sent as the offset that the
 * requested snapshot shall exceed. The number is greater than any offset of the log, so a host that
 * knows no pages responds that it has no newer snapshot.
 *
 * @param nextOffset for page 0, the offset that any snapshot shall exceed; for later pages, the
 *     next offset of the snapshot that the earlier pages belong to
 * @param page number of the page, from 0
 */
public record SnapshotPosition(long nextOffset, int page) {
  private static final int PAGE_BITS = 22;
  private static final int OFFSET_BITS = 40;
  private static final long PAGED = 1L << (PAGE_BITS + OFFSET_BITS);

  /** Validates the ranges. */
  public SnapshotPosition {
    if (nextOffset < 0 || nextOffset >> OFFSET_BITS != 0 || page < 0 || page >> PAGE_BITS != 0) {
      throw new IllegalArgumentException("page " + page + " at " + nextOffset + " is out of range");
    }
  }

  /** Returns the position that a request names, empty if it requests a whole snapshot. */
  public static Optional<SnapshotPosition> of(long newerThan) {
    if (newerThan < PAGED) {
      return Optional.empty();
    }
    long position = newerThan - PAGED;
    int page = (int) (position & ((1L << PAGE_BITS) - 1));
    return Optional.of(new SnapshotPosition(position >> PAGE_BITS, page));
  }

  /** Returns the number that stands for this position in a request. */
  public long number() {
    return PAGED | nextOffset << PAGE_BITS | page;
  }
}
