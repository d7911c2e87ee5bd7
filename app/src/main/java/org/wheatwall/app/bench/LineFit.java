package org.wheatwall.app.bench;

import java.util.List;

/**
 * A least-squares line through measured points.
 *
 * @param intercept value at size 0
 * @param slope growth per unit of size
 * @param slopeError standard error of the slope
 * @param worstResidual largest distance of a point from the line, relative to the largest value
 */
record LineFit(double intercept, double slope, double slopeError, double worstResidual) {
  /** One measurement. */
  record Point(double size, double value) {}

  /** Fits a line; the standard error needs at least 3 points. */
  static LineFit of(List<Point> points) {
    double n = points.size();
    double meanX = points.stream().mapToDouble(Point::size).average().orElse(0);
    double meanY = points.stream().mapToDouble(Point::value).average().orElse(0);
    double xx = points.stream().mapToDouble(p -> Math.pow(p.size() - meanX, 2)).sum();
    double xy = points.stream().mapToDouble(p -> (p.size() - meanX) * (p.value() - meanY)).sum();
    double slope = xy / xx;
    double intercept = meanY - slope * meanX;
    double squaredResiduals = 0;
    double worst = 0;
    double largest = 1e-9;
    for (Point point : points) {
      double residual = point.value() - intercept - slope * point.size();
      squaredResiduals += residual * residual;
      worst = Math.max(worst, Math.abs(residual));
      largest = Math.max(largest, Math.abs(point.value()));
    }
    double error = Math.sqrt(squaredResiduals / Math.max(1, n - 2) / xx);
    return new LineFit(intercept, slope, error, worst / largest);
  }

  double valueAt(double size) {
    return intercept + slope * size;
  }
}
