package org.wheatwall.app.compare.live;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A bar for the worth of each variant with its standard error, as SVG. */
final class LiveChart {
  private static final int ROW = 22;
  private static final int LEFT = 140;
  private static final int WIDTH = 500;
  private static final int TOP = 30;

  private final List<LiveCompare.Variant> variants;

  LiveChart(List<LiveCompare.Variant> variants) {
    this.variants = variants;
  }

  /** Returns the lines of an SVG document. */
  List<String> lines() {
    List<String> lines = new ArrayList<>();
    lines.add(
        String.format(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                + " font-family=\"sans-serif\" font-size=\"11\">",
            LEFT + WIDTH + 80, TOP + ROW * variants.size() + 10));
    lines.add(
        "<text x=\"4\" y=\"16\">worth without each mechanism; whiskers: two standard errors of"
            + " the difference</text>");
    for (int i = 0; i < variants.size(); i++) {
      addBar(lines, variants.get(i), TOP + ROW * i);
    }
    lines.add("</svg>");
    return lines;
  }

  private void addBar(List<String> lines, LiveCompare.Variant variant, int top) {
    double worth = variant.mean(LiveResult::worth);
    double reach = 2 * variant.standardError(variants.get(0));
    lines.add(text(4, top + 14, variant.label()));
    lines.add(
        String.format(
            Locale.ROOT,
            "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"#7fb77e\"/>",
            LEFT,
            top + 3,
            WIDTH * Math.max(0, worth),
            ROW - 7));
    lines.add(
        String.format(
            Locale.ROOT,
            "<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" stroke=\"black\"/>",
            LEFT + WIDTH * (worth - reach),
            top + ROW / 2,
            LEFT + WIDTH * (worth + reach),
            top + ROW / 2));
    lines.add(text(LEFT + WIDTH + 20, top + 14, String.format(Locale.ROOT, "%.3f", worth)));
  }

  private static String text(int x, int y, String content) {
    return String.format("<text x=\"%d\" y=\"%d\">%s</text>", x, y, content);
  }
}
