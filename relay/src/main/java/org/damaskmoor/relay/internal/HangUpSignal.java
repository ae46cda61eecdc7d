package org.damaskmoor.relay.internal;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * The signal that asks a process to read its settings again. Without a handler it would end the
 * process. The class library offers no public way to handle it, so its unsupported one is used.
 * Thread-safe.
 */
final class HangUpSignal {
    private HangUpSignal() {}

    /** Runs the task, on a thread of the virtual machine, whenever the signal comes. */
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
            throw new IllegalStateException("The signal HUP can't be handled.", unsupported);
        }
    }
}
