package org.damaskmoor.node.internal.http;

import io.activej.http.HttpServer;
import io.activej.net.socket.tcp.ITcpSocket;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.net.InetAddress;

/**
 * Serves HTTP over custom sockets: the library's own server accepts plain sockets only.
 *
 * <p>Stateless and thread-safe. Calls a non-public method of the library by a method handle;
 * loading this class fails if the library no longer has it.
 */
final class HttpConnections {
    private static final MethodHandle SERVE = serveMethod();

    private HttpConnections() {}

    /** Serves HTTP over the socket. Call on the server's event loop. */
    static void serve(HttpServer server, ITcpSocket socket, InetAddress remote) {
        try {
            SERVE.invokeExact(server, socket, remote);
        } catch (RuntimeException | Error failure) {
            throw failure;
        } catch (Throwable checked) {
            throw new IllegalStateException(
                    "HttpServer.serve threw a checked exception, which it does not declare",
                    checked);
        }
    }

    private static MethodHandle serveMethod() {
        try {
            return MethodHandles.privateLookupIn(HttpServer.class, MethodHandles.lookup())
                    .findVirtual(
                            HttpServer.class,
                            "serve",
                            MethodType.methodType(void.class, ITcpSocket.class, InetAddress.class));
        } catch (ReflectiveOperationException missing) {
            throw new ExceptionInInitializerError(missing);
        }
    }
}
