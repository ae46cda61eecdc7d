import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client's connection to the relay of its machine. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream in;

    Client(Kit kit, String ip) throws IOException {
        this(kit, ip, 0);
    }

    Client(Kit kit, String ip, int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.connect(new InetSocketAddress(ip, kit.outboundPort), 1000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String method, String path, String id, long deadline, byte[] body) throws IOException {
        String head =
                method + " " + path + " HTTP/1.1\r\nHost: " + Kit.HOST + "\r\nRequest-Id: " + id
                        + "\r\nDeadline-Ms: " + deadline + "\r\n"
                        + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) {
            socket.getOutputStream().write(body);
        }
        socket.getOutputStream().flush();
    }

    /** The answer, or an IOException; a SocketTimeoutException if none came in time. */
    Http.Message receive(long timeout) throws IOException {
        socket.setSoTimeout((int) Math.max(1, timeout));
        return Http.read(in);
    }

    /** The status of the answer, 0 for none in time, or -1 for a closed connection. */
    int status(long timeout) {
        try {
            return receive(timeout).status();
        } catch (SocketTimeoutException late) {
            return 0;
        } catch (IOException closed) {
            return -1;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
