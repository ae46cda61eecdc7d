import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A connection of a client to the outbound address of its machine. */
final class Client implements AutoCloseable {
    private static final AtomicInteger IDS = new AtomicInteger();
    final Socket socket = new Socket();
    final BufferedInputStream in;
    final OutputStream out;
    /** Further header lines of each request, each with its line end. */
    String moreHeaders = "";

    Client(int port) throws IOException {
        this(port, 0);
    }

    /** A client with a receive window of so many bytes; 0 for the usual one. */
    Client(int port, int windowBytes) throws IOException {
        if (windowBytes > 0) {
            socket.setReceiveBufferSize(windowBytes);
        }
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    static String newId() {
        return String.format("%016x", 0x9c41d07b00000000L + IDS.incrementAndGet());
    }

    void send(String method, String path, String id, long deadline, byte[] body) throws IOException {
        sendHead(method, path, id, deadline, body.length);
        out.write(body);
        out.flush();
    }

    void sendHead(String method, String path, String id, long deadline, long length) throws IOException {
        out.write((method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: " + deadline + "\r\n" + moreHeaders
                + (method.equals("GET") ? "" : "Content-Length: " + length + "\r\n") + "\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** Reads one answer; null if the connection was closed before its first byte. */
    Wire.Message read(long milliseconds) throws IOException {
        socket.setSoTimeout((int) milliseconds);
        return Wire.message(in, true);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
