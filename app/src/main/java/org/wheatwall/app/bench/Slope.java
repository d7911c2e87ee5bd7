package org.wheatwall.app.bench;

import java.util.List;

/**
 * A cost that is measured at several sizes.
 *
 * @param name name of the cost
 * @param sizeUnit unit of the size that it grows with
 * @param unit unit of the cost
 */
record Slope(String name, String sizeUnit, String unit, List<LineFit.Point> points, LineFit fit) {
  private static final double MAX_LINEAR_RESIDUAL = 0.15;

  static Slope of(String name, String sizeUnit, String unit, List<LineFit.Point> points) {
    return new Slope(name, sizeUnit, unit, points, LineFit.of(points));
  }

  String row() {
    StringBuilder measured = new StringBuilder();
    for (LineFit.Point point : points) {
      measured.append(String.format("%.0f: %.3g; ", point.size(), point.value()));
    }
    return String.format(
        "| %s | %.4g %s per %s | %.2g | %s | %s |",
        name,
        fit.slope(),
        unit,
        sizeUnit,
        fit.slopeError(),
        fit.worstResidual() <= MAX_LINEAR_RESIDUAL
            ? "yes"
            : String.format("off by %.0f%%", fit.worstResidual() * 100),
        measured.toString().trim());
  }
}
