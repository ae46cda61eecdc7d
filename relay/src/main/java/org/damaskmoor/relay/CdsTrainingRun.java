package org.damaskmoor.relay;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.platform.protocol.SampleMessages;
import org.damaskmoor.relay.internal.RelayNode;
import org.damaskmoor.relay.internal.SettingsFileWatcher;
import org.damaskmoor.relay.internal.log.RateLimitedEventLog;
import org.damaskmoor.relay.internal.net.LoopbackAddresses;
import org.damaskmoor.relay.internal.time.EventLoopTimers;
import org.damaskmoor.schema.link.FleetMember;

/**
 * Starts two relays on loopback ports, beside sample peers, and sends them a few requests, of which
 * one relay forwards its own to the other, so that the JVM can archive the classes that a start and
 * the first requests load. With the archive, a relay serves about a second sooner.
 *
 * <p>Used by the build. Confined to one thread.
 */
final class CdsTrainingRun {
    private static final int SOCKET_TIMEOUT_MILLISECONDS = 2000;

    /** Time for the relay to read the sample store and to write to it. */
    private static final int STORE_MILLISECONDS = 800;

    private static final int REQUESTS = 3;
    private static final String SERVICE = "sample";
    private static final String UPSTREAM = "sample-upstream";

    private CdsTrainingRun() {}

    static void run()
            throws IOException, InterruptedException, ExecutionException, CompletionException {
        Map<String, ByteString> members = new ConcurrentHashMap<>();
        SamplePeer store = SamplePeer.start(request -> storeAnswer(members));
        SamplePeer upstream = SamplePeer.start(CdsTrainingRun::upstreamAnswer);
        Path file = Files.createTempFile("training", ".properties");
        RelaySettings target = settings(file, "sample", SERVICE, store, upstream);
        RelaySettings entry = settings(file, "sample-entry", "other", store, upstream);
        members.put("sample", member(target));
        members.put("sample-entry", member(entry));
        RateLimitedEventLog log = start(target, file);
        RateLimitedEventLog entryLog = start(entry, file);
        Thread.sleep(STORE_MILLISECONDS);
        request(target.readiness(), SampleMessages.readinessCheck());
        request(target.announcements(), SampleMessages.announcement(UPSTREAM, SERVICE));
        for (int i = 0; i < REQUESTS; i++) {
            request(target.callers(), SampleMessages.request("r" + i));
            request(entry.callers(), SampleMessages.request("s" + i));
        }
        Thread.sleep(STORE_MILLISECONDS);
        log.close();
        entryLog.close();
        Files.delete(file);
    }

    private static RateLimitedEventLog start(RelaySettings settings, Path file)
            throws InterruptedException, ExecutionException, CompletionException {
        EventLoop loop = new NioEventLoopGroup(1).next();
        EventLoopTimers timers = new EventLoopTimers(loop);
        RateLimitedEventLog log = new RateLimitedEventLog(timers, System.out);
        RelayNode node = new RelayNode(settings, loop, timers, log);
        SettingsFileWatcher watcher = new SettingsFileWatcher(file, settings, timers, log);
        loop.submit(node::start).get().join();
        loop.execute(watcher::start);
        return log;
    }

    private static RelaySettings read(Path file) throws IOException {
        try {
            return RelaySettingsReader.read(file);
        } catch (SettingsException invalid) {
            throw new IOException("The settings of the training run are invalid.", invalid);
        }
    }

    private static ByteString member(RelaySettings settings) {
        return FleetMember.newBuilder()
                .setNodeId(settings.node().value())
                .setService(settings.service().value())
                .setAddress(text(settings.links()))
                .setDataCentre(settings.dataCentre().value())
                .setRegion(settings.region().value())
                .setSlots(2)
                .build()
                .toByteString();
    }

    private static String storeAnswer(Map<String, ByteString> members) {
        String page = SampleMessages.storePage(SampleMessages.configuration(SERVICE), members);
        return "HTTP/1.1 200 OK\r\nContent-Length: "
                + page.getBytes(StandardCharsets.UTF_8).length
                + "\r\n\r\n"
                + page;
    }

    private static String upstreamAnswer(String request) {
        String id = SampleMessages.requestId(request).orElse("none");
        return SampleMessages.upstreamAnswer(UPSTREAM, id);
    }

    /** Writes a settings file and reads it, as a start does. */
    private static RelaySettings settings(
            Path file, String node, String service, SamplePeer store, SamplePeer upstream)
            throws IOException {
        List<String> lines = new ArrayList<>();
        for (String name :
                List.of(
                        "caller-address",
                        "link-address",
                        "readiness-address",
                        "announcement-address",
                        "metrics-address")) {
            lines.add(name + "=" + text(LoopbackAddresses.next()));
        }
        lines.add("store-address=" + text(store.address()));
        lines.add("upstream-address=" + text(upstream.address()));
        lines.addAll(
                List.of(
                        "node-id=" + node,
                        "region=sample",
                        "data-centre=sample",
                        "service=" + service,
                        "drain=1s",
                        "stop-timeout=1s",
                        "retry-ratio=0.2",
                        "retry-slack=64",
                        "retry-window=10s",
                        "health-checks-per-second=60"));
        Files.writeString(file, String.join("\n", lines));
        return read(file);
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
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
}
