package rushproxy.sidecar;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A server on loopback that handles each message as the test specifies, such as an upstream or discovery. */
final class TestServer implements AutoCloseable {
    /** Handles a message. A handler that writes nothing leaves the sender waiting. */
    interface Handler {
        void handle(Message message, Connection connection) throws IOException;
    }

    record Message(String head, String body) {
        String path() {
            return head.split(" ")[1];
        }

        /** Null if there is no such header. */
        String header(String name) {
            return head.lines()
                    .skip(1)
                    .filter(line -> line.toLowerCase().startsWith(name.toLowerCase() + ":"))
                    .map(line -> line.substring(name.length() + 1).trim())
                    .findFirst()
                    .orElse(null);
        }
    }

    /** The server's side of a connection. */
    record Connection(Socket socket) {
        void raw(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }

        void answer(String status, String headers, String body) throws IOException {
            raw("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    final BlockingQueue<Message> messages = new LinkedBlockingQueue<>();
    final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    volatile Handler handler;
    /** Reads bodies slowly or not at all; null to read them at once. */
    volatile BodyReader bodyReader;

    /** Reads the body of a message. */
    interface BodyReader {
        void read(Message head, InputStream in) throws IOException;
    }

    TestServer(Handler script) throws IOException {
        this.handler = script;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    Message next() throws InterruptedException {
        Message message = messages.poll(20, TimeUnit.SECONDS);
        if (message == null) {
            throw new AssertionError("no message arrived");
        }
        return message;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                accepted.add(socket);
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket) {
        try {
            for (Message message; (message = readMessage(socket.getInputStream())) != null; ) {
                messages.add(message);
                handler.handle(message, new Connection(socket));
            }
        } catch (IOException e) {
            // the other side closed the connection
        }
    }

    private Message readMessage(InputStream in) throws IOException {
        if (bodyReader == null) {
            return read(in);
        }
        Message head = readHead(in);
        if (head != null) {
            bodyReader.read(head, in);
        }
        return head;
    }

    /** Reads a message with a body of its stated length; null if the stream ends before one. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) {
            return null;
        }
        String length = message.header("Content-Length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return new Message(message.head, new String(body, StandardCharsets.ISO_8859_1));
    }

    private static Message readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                return null;
            }
            head.append((char) c);
        }
        return new Message(head.toString(), "");
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Polls until the condition holds or 10 s have passed, which is not a failure. */
    static void awaitUntil(java.util.function.BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean() && System.nanoTime() < untilNanos) {
            try {
                TimeUnit.MILLISECONDS.sleep(10);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** A client connection to a sidecar. */
    static final class Client implements AutoCloseable {
        final Socket socket;

        Client(InetSocketAddress to) throws IOException {
            this(new Socket(to.getAddress(), to.getPort()));
        }

        Client(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(20_000);
        }

        Client send(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            return this;
        }

        /** The next response; null if the connection ends without one. */
        Message answer() throws IOException {
            return read(socket.getInputStream());
        }

        int status() throws IOException {
            Message message = answer();
            return message == null ? -1 : Integer.parseInt(message.head.split(" ")[1]);
        }

        /** Reads until the other side closes the connection. */
        String rest() throws IOException {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
