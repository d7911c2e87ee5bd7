package org.wheatwall.app.account;

import java.util.ArrayList;
import java.util.List;

/** Time spans that do not overlap, such as those without a decider. */
final class Spans {
  private final List<Span> spans = new ArrayList<>();

  /** A span from one time to another, milliseconds since 1970. */
  record Span(long fromMs, long toMs) {
    long lengthMs() {
      return Math.max(0, toMs - fromMs);
    }

    Span within(long from, long to) {
      return new Span(Math.max(fromMs, from), Math.min(toMs, to));
    }
  }

  void add(long fromMs, long toMs) {
    spans.add(new Span(fromMs, toMs));
  }

  List<Span> all() {
    return List.copyOf(spans);
  }

  /** Returns how many milliseconds between two times lie within these spans. */
  long lengthWithin(long fromMs, long toMs) {
    return spans.stream().mapToLong(span -> span.within(fromMs, toMs).lengthMs()).sum();
  }

  /** Returns whether a span ended at most {@code withinMs} before {@code atMs}. */
  boolean endedShortlyBefore(long atMs, long withinMs) {
    return spans.stream().anyMatch(span -> atMs >= span.toMs() && atMs - span.toMs() <= withinMs);
  }
}
