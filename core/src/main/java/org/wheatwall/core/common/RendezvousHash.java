package org.wheatwall.core.common;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Highest-random-weight choice of a node for a key (Thaler and Ravishankar, 1998). Every process
 * with the same nodes makes the same choice; removing a node reassigns only its own keys.
 */
public final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /** Returns the node chosen for {@code key}, empty if there are no nodes. */
  public static Optional<String> choose(String key, Collection<String> nodes) {
    String best = null;
    long bestWeight = 0;
    for (String node : nodes) {
      long weight = weight(key, node);
      if (best == null || wins(weight, node, bestWeight, best)) {
        best = node;
        bestWeight = weight;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns all nodes, most preferred first. */
  public static List<String> rank(String key, Collection<String> nodes) {
    List<String> ranked = new ArrayList<>(nodes);
    ranked.sort(
        Comparator.comparingLong((String node) -> weight(key, node))
            .reversed()
            .thenComparing(Comparator.reverseOrder()));
    return ranked;
  }

  /** Returns a 64-bit hash of {@code text} with well-distributed bits. */
  public static long hash(String text) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  private static long weight(String key, String node) {
    return mix(hash(key) ^ Long.rotateLeft(hash(node), 31));
  }

  private static boolean wins(long weight, String node, long bestWeight, String best) {
    return weight > bestWeight || (weight == bestWeight && node.compareTo(best) > 0);
  }

  // The finalizer of MurmurHash3; it compensates for the poorly distributed low bits of FNV.
  private static long mix(long value) {
    long mixed = value;
    mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
