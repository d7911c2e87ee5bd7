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

  /**
   * Returns {@code name} if it is valid, otherwise throws a {@link Refusal} that names {@code
   * field}.
   */
  public static String require(String field, String name) {
    if (name == null || !isName(name)) {
      throw Refusal.invalid(
          field + " \"" + name + "\" is not a valid name",
          "use 1 to 63 lower-case letters, digits, '.', '_' or '-', starting and ending with a"
              + " letter or digit");
    }
    return name;
  }

  // Checked by hand and not with a regular expression, because every request names a service and a
  // workspace.
  private static boolean isName(String text) {
    int length = text.length();
    if (length == 0 || length > MAX_LENGTH) {
      return false;
    }
    for (int i = 0; i < length; i++) {
      char c = text.charAt(i);
      boolean alphanumeric = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
      boolean innerSeparator = i > 0 && i < length - 1 && (c == '.' || c == '_' || c == '-');
      if (!alphanumeric && !innerSeparator) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns {@code text} if it is a valid name, otherwise a valid name derived from its hash. For
   * names from other systems with other rules.
   */
  public static String toValidName(String text) {
    return isName(text) ? text : substitute(text);
  }

  /**
   * Returns {@code text} if it is a valid label key or value, otherwise one derived from its hash.
   */
  public static String toLabelText(String text) {
    return isLabelText(text) ? text : substitute(text);
  }

  // Two 64-bit hashes (128 bits), so that the risk of a collision of different texts is negligible.
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

  /** Returns whether {@code text} is a valid label key or value. */
  static boolean isLabelText(String text) {
    return text != null && text.length() <= MAX_LENGTH && LABEL.matcher(text).matches();
  }

  /**
   * Returns {@code value} if it is in {@code low..high}, otherwise throws a {@link Refusal} that
   * names {@code field}.
   */
  public static int requireRange(String field, int value, int low, int high) {
    if (value < low || value > high) {
      throw Refusal.invalid(
          field + " is " + value, "give a whole number from " + low + " to " + high);
    }
    return value;
  }
}
