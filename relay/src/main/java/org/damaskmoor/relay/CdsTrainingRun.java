package org.damaskmoor.relay;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.platform.protocol.ConfigurationDecoder;
import org.damaskmoor.platform.protocol.EndpointPaths;
import org.damaskmoor.relay.internal.RelayNode;
import org.damaskmoor.relay.internal.log.RateLimitedEventLog;
import org.damaskmoor.relay.internal.time.EventLoopTimers;

/**
 * Starts a relay on loopback ports and sends it a few requests, so that the JVM can archive the
 * classes that a start loads. With the archive, a relay serves about a second sooner.
 *
 * <p>Used by the build. Confined to one thread.
 */
final class CdsTrainingRun {
    private static final int SOCKET_TIMEOUT_MILLISECONDS = 2000;
    private static final int STORE_ATTEMPTS_MILLISECONDS = 500;

    private CdsTrainingRun() {}

    static void run() throws IOException, InterruptedException, ExecutionException {
        EventLoop loop = new NioEventLoopGroup(1).next();
        EventLoopTimers timers = new EventLoopTimers(loop);
        RateLimitedEventLog log = new RateLimitedEventLog(timers, System.out);
        RelaySettings settings = settings();
        RelayNode node = new RelayNode(settings, loop, timers, log);
        loop.submit(node::start).get().join();
        request(
                settings.readiness(),
                "GET " + EndpointPaths.READY + " HTTP/1.1\r\nHost: a\r\n\r\n");
        request(settings.callers(), "GET /a/ HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\n\r\n");
        request(settings.announcements(), "GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
        loadDecoders();
        Thread.sleep(STORE_ATTEMPTS_MILLISECONDS);
        log.close();
    }

    private static void loadDecoders() {
        ConfigurationDecoder.decode(
                "{\"version\":\"1\",\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/\","
                        + "\"kind\":\"idempotent\",\"timeout\":\"1s\",\"service\":\"s\"}],"
                        + "\"services\":[{\"name\":\"s\"}],\"limits\":{}}");
    }

    private static void request(InetSocketAddress address, String request) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLISECONDS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream answer = socket.getInputStream();
            if (answer.read() < 0) {
                throw new IOException("The relay closed the connection to " + address + ".");
            }
        }
    }

    private static RelaySettings settings() throws IOException {
        InetSocketAddress links = freeAddress();
        return new RelaySettings(
                new NodeId("rehearsal"),
                new RegionName("here"),
                new DataCentreName("here"),
                new ServiceName("rehearsal"),
                freeAddress(),
                links,
                links,
                freeAddress(),
                freeAddress(),
                freeAddress(),
                freeAddress(),
                Optional.of(freeAddress()),
                List.of(),
                1000,
                1000,
                0,
                0,
                1000,
                1,
                RelaySettings.DEFAULT_MAX_ANSWER_BYTES);
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }
}
