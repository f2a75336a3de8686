package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Decodes one request at a time. A head is decoded once it has arrived whole, since a decoded field costs many times its bytes; until
 * then, and while the previous request is served, its bytes are held as they are, in a buffer of their size. Rejects requests whose end
 * is ambiguous: the next hop must not see another end than this one. Netty accepts them and takes the more likely reading.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** Maximum size of a head, including its request line. */
    static final int MAX_HEAD_BYTES = DEFAULT_MAX_INITIAL_LINE_LENGTH + DEFAULT_MAX_HEADER_SIZE;

    static final int MAX_FIELDS = 256;

    private static final ByteBuf HTTP_VERSION_PREFIX = Unpooled.unreleasableBuffer(
            Unpooled.wrappedBuffer("HTTP/".getBytes(StandardCharsets.US_ASCII)).asReadOnly());

    /** Decides on the bytes that can't be decoded yet. */
    interface Listener {
        /** Whether the next request may be decoded now. */
        boolean acceptsRequest();

        /** Called when bytes are held; {@code incompleteHead}: they are the beginning of a head. */
        void onHeld(int bytes, boolean incompleteHead);

        /** Called when none are held any more. */
        void onNoneHeld();
    }

    private final Listener listener;
    private ChannelHandlerContext context;
    /** Bytes to be decoded before all that follow; null if there are none. */
    private ByteBuf held;
    /** Whether the next byte to be decoded begins a request. */
    private boolean isBetweenRequests = true;
    /** Whether what was received is no HTTP; everything that follows is discarded. */
    private boolean isMalformed;
    /** How many bytes of an incomplete head have been searched for its end. */
    private int searchedBytes;

    private int fields;

    RequestDecoder(Listener listener) {
        this.listener = listener;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** How many bytes are held. */
    int heldBytes() {
        return held == null ? 0 : held.readableBytes();
    }

    /** Decodes the bytes that were held while the previous request was served. */
    void resume() throws Exception {
        if (held != null) {
            decodeAll(context, takeHeld());
        }
    }

    private void decodeAll(ChannelHandlerContext ctx, ByteBuf bytes) throws Exception {
        super.channelRead(ctx, bytes);
        if (held == null) {
            listener.onNoneHeld();
        }
    }

    /** Discards the bytes that are held. */
    void discard() {
        if (held != null) {
            takeHeld().release();
        }
    }

    private ByteBuf takeHeld() {
        ByteBuf bytes = held;
        held = null;
        return bytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (held == null) {
            super.channelRead(ctx, message);
            return;
        }
        ByteBuf read = (ByteBuf) message;
        ByteBuf all = Unpooled.buffer(held.readableBytes() + read.readableBytes());
        ByteBuf first = takeHeld();
        all.writeBytes(first).writeBytes(read);
        first.release();
        read.release();
        decodeAll(ctx, all);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (isMalformed) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (isBetweenRequests) {
            if (!listener.acceptsRequest()) {
                hold(in, false);
                return;
            }
            if (!hasWholeHead(in)) {
                if (in.readableBytes() <= MAX_HEAD_BYTES) {
                    hold(in, true);
                } else {
                    in.skipBytes(in.readableBytes());
                    out.add(tooLongHead());
                    isMalformed = true;
                }
                return;
            }
        }
        int bytesBefore = in.readableBytes();
        int partsBefore = out.size();
        super.decode(ctx, in, out);
        observe(out.subList(partsBefore, out.size()));
        if (in.readableBytes() == bytesBefore && out.size() == partsBefore) {
            hold(in, false);
        }
    }

    private void observe(List<Object> parts) {
        for (Object part : parts) {
            if (part instanceof HttpRequest) {
                isBetweenRequests = false;
                fields = 0;
            }
            if (part instanceof LastHttpContent) {
                isBetweenRequests = true;
            }
            isMalformed |= ((HttpObject) part).decoderResult().isFailure();
        }
    }

    /** Takes all bytes, so that the larger buffer they were read into is not kept for them. */
    private void hold(ByteBuf in, boolean incompleteHead) {
        int bytes = in.readableBytes();
        if (bytes > 0) {
            held = !in.isDirect() && 2 * bytes >= in.capacity()
                    ? in.readRetainedSlice(bytes)
                    : Unpooled.buffer(bytes, bytes).writeBytes(in);
            listener.onHeld(bytes, incompleteHead);
        }
    }

    /** Whether the bytes hold the empty line that ends a head; empty lines before it are skipped, as Netty does. */
    private boolean hasWholeHead(ByteBuf in) {
        while (in.isReadable() && isBlank(in.getByte(in.readerIndex()))) {
            in.skipBytes(1);
            searchedBytes = 0;
        }
        int end = in.writerIndex();
        if (searchedBytes == 0 && hasInvalidFirstLine(in, end)) {
            return true;
        }
        int from = in.readerIndex() + Math.min(searchedBytes, in.readableBytes());
        for (int lineFeed; (lineFeed = in.indexOf(from, end, (byte) '\n')) >= 0; from = lineFeed + 1) {
            int next = lineFeed + 1;
            if (next < end && in.getByte(next) == '\r') {
                next++;
            }
            if (next >= end) {
                // What follows this line decides.
                searchedBytes = lineFeed - in.readerIndex();
                return false;
            }
            if (in.getByte(next) == '\n') {
                searchedBytes = 0;
                return true;
            }
        }
        searchedBytes = in.readableBytes();
        return false;
    }

    /** Whether there is a whole first line that names no version, so that it can be rejected without the rest. */
    private static boolean hasInvalidFirstLine(ByteBuf in, int end) {
        int lineFeed = in.indexOf(in.readerIndex(), end, (byte) '\n');
        return lineFeed >= 0
                && ByteBufUtil.indexOf(HTTP_VERSION_PREFIX, in.slice(in.readerIndex(), lineFeed - in.readerIndex()))
                        < 0;
    }

    private static boolean isBlank(byte value) {
        return Character.isISOControl(value) || Character.isWhitespace(value);
    }

    private static FullHttpRequest tooLongHead() {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
        request.setDecoderResult(DecoderResult.failure(new TooLongHttpHeaderException("head is too long")));
        return request;
    }

    /** Rejects anything between a header's name and its colon, which other parsers might ignore, and too many fields. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("header name is not followed by a colon");
        }
        if (++fields > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " fields");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
    }

    /** Whether the end of the body is given by exactly one length or by chunks. */
    static boolean hasUnambiguousFraming(HttpMessage message) {
        HttpHeaders headers = message.headers();
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return encodings.isEmpty()
                || encodings.size() == 1
                        && encodings.get(0).equalsIgnoreCase("chunked")
                        && message.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }
}
