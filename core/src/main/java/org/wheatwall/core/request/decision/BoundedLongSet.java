package org.wheatwall.core.request.decision;

import java.util.Arrays;

/**
 * A set of {@code long} values that evicts the oldest one when its capacity is exceeded. It uses
 * open addressing and a ring buffer, so an entry costs 16 to 24 bytes and no object; it grows as it
 * fills.
 */
final class BoundedLongSet {
  private static final int INITIAL_CAPACITY = 256;

  private final int capacity;
  private long[] ring = new long[INITIAL_CAPACITY];
  private long[] table = new long[INITIAL_CAPACITY * 2];
  private int size;
  private int oldest;

  BoundedLongSet(int capacity) {
    this.capacity = capacity;
  }

  boolean contains(long value) {
    return table[slotOf(table, nonZero(value))] != 0;
  }

  void add(long value) {
    long stored = nonZero(value);
    int slot = slotOf(table, stored);
    if (table[slot] != 0) {
      return;
    }
    if (size == ring.length) {
      if (ring.length < capacity) {
        grow();
      } else {
        removeOldest();
      }
      slot = slotOf(table, stored);
    }
    table[slot] = stored;
    ring[(oldest + size) % ring.length] = stored;
    size++;
  }

  long[] toArray() {
    long[] values = new long[size];
    for (int i = 0; i < size; i++) {
      values[i] = ring[(oldest + i) % ring.length];
    }
    return values;
  }

  private void grow() {
    long[] values = toArray();
    int nextLength = Math.min(capacity, ring.length * 2);
    ring = Arrays.copyOf(values, nextLength);
    oldest = 0;
    table = new long[nextLength * 2];
    for (long value : values) {
      table[slotOf(table, value)] = value;
    }
  }

  private void removeOldest() {
    remove(ring[oldest]);
    oldest = (oldest + 1) % ring.length;
    size--;
  }

  // Removes by moving later entries back, so that no probe sequence is broken (Knuth, vol. 3, 6.4,
  // algorithm R).
  private void remove(long value) {
    int hole = slotOf(table, value);
    table[hole] = 0;
    int next = (hole + 1) % table.length;
    while (table[next] != 0) {
      long moved = table[next];
      table[next] = 0;
      table[slotOf(table, moved)] = moved;
      next = (next + 1) % table.length;
    }
  }

  private static int slotOf(long[] table, long value) {
    int slot = (int) Long.remainderUnsigned(value * 0x9E3779B97F4A7C15L, table.length);
    while (table[slot] != 0 && table[slot] != value) {
      slot = (slot + 1) % table.length;
    }
    return slot;
  }

  private static long nonZero(long value) {
    return value == 0 ? 1 : value;
  }
}
