package org.wheatwall.core.job.decision;

import java.util.AbstractList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;

/**
 * A list in sorted order of which only the parts that are read are sorted, by incremental quicksort
 * (Paredes and Navarro, 2006). A scheduling pass often reads only the head of a long queue.
 *
 * @param <T> type of the elements; the order must be strict, so that it does not depend on the
 *     order in which parts are read
 */
final class LazySort<T> extends AbstractList<T> {
  // Shorter ranges are sorted at once.
  private static final int MIN_PARTITION = 32;
  // Bounds the cost if the pivots divide a range badly again and again.
  private static final int MAX_PARTITIONS = 64;

  private final Object[] elements;
  private final Comparator<? super T> order;
  // Positions whose element is final: all before are less, and all after are greater.
  private final BitSet settled;

  LazySort(List<T> elements, Comparator<? super T> order) {
    this.elements = elements.toArray();
    this.order = order;
    this.settled = new BitSet(this.elements.length);
  }

  @Override
  public int size() {
    return elements.length;
  }

  @Override
  public T get(int index) {
    if (!settled.get(index)) {
      settle(index);
    }
    return element(index);
  }

  private void settle(int index) {
    int from = settled.previousSetBit(index) + 1;
    int next = settled.nextSetBit(index);
    int to = next < 0 ? elements.length : next;
    for (int i = 0; to - from > MIN_PARTITION && i < MAX_PARTITIONS; i++) {
      int pivot = partition(from, to);
      settled.set(pivot);
      if (pivot == index) {
        return;
      }
      from = pivot < index ? pivot + 1 : from;
      to = pivot < index ? to : pivot;
    }
    Arrays.sort(elements, from, to, (a, b) -> order.compare(cast(a), cast(b)));
    settled.set(from, to);
  }

  // Moves lesser elements before the median of three, which it returns the final position of.
  private int partition(int from, int to) {
    swap(medianOfThree(from, (from + to) >>> 1, to - 1), to - 1);
    T pivot = element(to - 1);
    int end = from;
    for (int i = from; i < to - 1; i++) {
      if (order.compare(element(i), pivot) < 0) {
        swap(i, end);
        end++;
      }
    }
    swap(end, to - 1);
    return end;
  }

  private int medianOfThree(int a, int b, int c) {
    boolean aFirst = order.compare(element(a), element(b)) < 0;
    int lesser = aFirst ? a : b;
    int greater = aFirst ? b : a;
    if (order.compare(element(c), element(lesser)) < 0) {
      return lesser;
    }
    return order.compare(element(c), element(greater)) < 0 ? c : greater;
  }

  private void swap(int one, int other) {
    Object moved = elements[one];
    elements[one] = elements[other];
    elements[other] = moved;
  }

  private T element(int index) {
    return cast(elements[index]);
  }

  @SuppressWarnings("unchecked")
  private T cast(Object element) {
    return (T) element;
  }
}
