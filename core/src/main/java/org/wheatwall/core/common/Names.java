package org.wheatwall.core.common;

import java.util.regex.Pattern;

/** Checks for names and label values that users supply. */
public final class Names {
  /** Longest name accepted, in characters. */
  public static final int MAX_LENGTH = 63;

  private static final Pattern LABEL = Pattern.compile("[A-Za-z0-9]([A-Za-z0-9._/-]*[A-Za-z0-9])?");

  private Names() {}

  /** Returns {@code name} if it is well formed; {@code field} is named in the refusal. */
  public static String require(String field, String name) {
    if (name == null || !isName(name)) {
      throw Refusal.invalid(
          field + " \"" + name + "\" is not a valid name",
          "use 1 to 63 lower-case letters, digits, '.', '_' or '-', starting and ending with a"
              + " letter or digit");
    }
    return name;
  }

  // Every request names a service and a workspace, so this is no regular expression.
  private static boolean isName(String text) {
    int length = text.length();
    if (length == 0 || length > MAX_LENGTH) {
      return false;
    }
    for (int i = 0; i < length; i++) {
      char c = text.charAt(i);
      boolean plain = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
      boolean inner = i > 0 && i < length - 1 && (c == '.' || c == '_' || c == '-');
      if (!plain && !inner) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether {@code text} may be used as a label key or value. */
  static boolean isLabelText(String text) {
    return text != null && text.length() <= MAX_LENGTH && LABEL.matcher(text).matches();
  }

  /** Returns {@code value} if it lies in {@code low..high}. */
  public static int requireRange(String field, int value, int low, int high) {
    if (value < low || value > high) {
      throw Refusal.invalid(
          field + " is " + value, "give a whole number from " + low + " to " + high);
    }
    return value;
  }
}
