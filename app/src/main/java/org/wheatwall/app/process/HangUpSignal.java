package org.wheatwall.app.process;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles SIGHUP, which would otherwise terminate the process. Uses reflection, because the only
 * API for this is {@code sun.misc.Signal}, and the compiler warns about its use.
 */
final class HangUpSignal {
  private static final Logger LOG = LoggerFactory.getLogger(HangUpSignal.class);

  private HangUpSignal() {}

  /** Runs {@code action} on each signal, on a thread of the JVM. */
  static void handle(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) -> dispatch(self, method, arguments, action));
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
    } catch (ReflectiveOperationException e) {
      LOG.atWarn().setCause(e).log("hang-up-signal-not-handled");
    }
  }

  private static Object dispatch(Object self, Method method, Object[] arguments, Runnable action) {
    return switch (method.getName()) {
      case "equals" -> self == arguments[0];
      case "hashCode" -> System.identityHashCode(self);
      case "toString" -> "HangUpSignal";
      default -> {
        action.run();
        yield null;
      }
    };
  }
}
