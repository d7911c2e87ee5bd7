package org.wheatwall.core.common;

import java.util.regex.Pattern;

/** Checks for names and label values that users supply. */
public final class Names {
  /** Longest name accepted, in characters. */
  public static final int MAX_LENGTH = 63;

  private static final Pattern LABEL = Pattern.compile("[A-Za-z0-9]([A-Za-z0-9._/-]*[A-Za-z0-9])?");

  // FNV-1a (Fowler, Noll, Vo): its basis and prime for 64 bits, and another odd basis.
  private static final long FIRST_BASIS = 0xcbf29ce484222325L;
  private static final long SECOND_BASIS = 0x9e3779b97f4a7c15L;
  private static final long HASH_PRIME = 0x100000001b3L;

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

  /**
   * Returns {@code text} if it is a valid name, otherwise a valid one that stands for it: for names
   * that are given elsewhere, by other rules.
   */
  public static String toValidName(String text) {
    return isName(text) ? text : substitute(text);
  }

  /** Returns {@code text} if it may stand in a label, otherwise a text that stands for it. */
  public static String toLabelText(String text) {
    return isLabelText(text) ? text : substitute(text);
  }

  // 128 bits: texts that differ have substitutes that differ, but for a most unlikely accident.
  private static String substitute(String text) {
    String hash = Long.toHexString(hash(text, FIRST_BASIS)) + "-";
    return "x-" + hash + Long.toHexString(hash(text, SECOND_BASIS));
  }

  private static long hash(String text, long basis) {
    long hash = basis;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * HASH_PRIME;
    }
    return hash;
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
