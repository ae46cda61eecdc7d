package org.damaskmoor.relay.internal;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which asks the process to read its settings again and would end it if unhandled.
 * Uses {@code sun.misc.Signal} by reflection, because there is no public API. Thread-safe.
 */
final class HangUpSignal {
    private HangUpSignal() {}

    /** Runs the task on a thread of the JVM whenever the signal arrives. */
    static void handle(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            HangUpSignal.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, arguments) -> {
                                if (method.getName().equals("handle")) {
                                    task.run();
                                    return null;
                                }
                                return method.invoke(task, arguments);
                            });
            Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangUp, proxy);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException unsupported) {
            throw new IllegalStateException(
                    "The JVM does not support handling the signal HUP.", unsupported);
        }
    }
}
