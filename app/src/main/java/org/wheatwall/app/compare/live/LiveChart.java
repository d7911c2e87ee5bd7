package org.wheatwall.app.compare.live;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** An SVG bar chart of the worth of each variant with its standard error. */
final class LiveChart {
  private static final int ROW_PIXELS = 22;
  private static final int LEFT_PIXELS = 140;
  private static final int WIDTH_PIXELS = 500;
  private static final int TOP_PIXELS = 30;

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
            LEFT_PIXELS + WIDTH_PIXELS + 80, TOP_PIXELS + ROW_PIXELS * variants.size() + 10));
    lines.add(
        "<text x=\"4\" y=\"16\">worth without each mechanism; whiskers: two standard errors of"
            + " the difference</text>");
    for (int i = 0; i < variants.size(); i++) {
      addBar(lines, variants.get(i), TOP_PIXELS + ROW_PIXELS * i);
    }
    lines.add("</svg>");
    return lines;
  }

  private void addBar(List<String> lines, LiveCompare.Variant variant, int top) {
    double worth = variant.mean(LiveResult::worth);
    double whisker = 2 * variant.standardError(variants.get(0));
    lines.add(text(4, top + 14, variant.label()));
    lines.add(
        String.format(
            Locale.ROOT,
            "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"#7fb77e\"/>",
            LEFT_PIXELS,
            top + 3,
            WIDTH_PIXELS * Math.max(0, worth),
            ROW_PIXELS - 7));
    lines.add(
        String.format(
            Locale.ROOT,
            "<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" stroke=\"black\"/>",
            LEFT_PIXELS + WIDTH_PIXELS * (worth - whisker),
            top + ROW_PIXELS / 2,
            LEFT_PIXELS + WIDTH_PIXELS * (worth + whisker),
            top + ROW_PIXELS / 2));
    lines.add(
        text(LEFT_PIXELS + WIDTH_PIXELS + 20, top + 14, String.format(Locale.ROOT, "%.3f", worth)));
  }

  private static String text(int x, int y, String content) {
    return String.format("<text x=\"%d\" y=\"%d\">%s</text>", x, y, content);
  }
}
