package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class RequestDecoderTest {
    private static final String REQUESTS = "\r\n\r\nPOST /a HTTP/1.1\r\nX-Txn: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nX-End: e\r\n\r\n"
            + "GET /b HTTP/1.0\r\nX-Txn: 2\r\n\r\nPOST /c HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET /d HTTP/1.1\r\n\r\n";

    /** Accepts requests while {@code accepts} is set. */
    private static final class Recorder implements RequestDecoder.Listener {
        boolean accepts = true;
        int heldBytes;

        @Override
        public boolean acceptsRequest() {
            return accepts;
        }

        @Override
        public void onHeld(int bytes, boolean incompleteHead) {
            heldBytes = bytes;
        }

        @Override
        public void onNoneHeld() {
            heldBytes = 0;
        }
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    /** The decoded requests as text, with their bodies joined. */
    private static String describe(EmbeddedChannel channel) {
        StringBuilder text = new StringBuilder();
        for (HttpObject part; (part = channel.readInbound()) != null; ) {
            assertTrue(part.decoderResult().isSuccess(), part::toString);
            if (part instanceof HttpRequest request) {
                text.append(request.method())
                        .append(request.uri())
                        .append(request.headers().get("X-Txn"));
            }
            if (part instanceof HttpContent content) {
                text.append(content.content().toString(StandardCharsets.US_ASCII));
            }
            text.append(part instanceof LastHttpContent ? "." : "");
            ReferenceCountUtil.release(part);
        }
        return text.toString();
    }

    /** Guards against requests that are read differently because they arrive in pieces. */
    @Test
    void requestsAreTheSameInWhateverPiecesTheyArrive() {
        for (int cut = 0; cut <= REQUESTS.length(); cut++) {
            for (int step : new int[] {1, 7, REQUESTS.length()}) {
                EmbeddedChannel channel = new EmbeddedChannel(new RequestDecoder(new Recorder()));
                channel.writeInbound(bytes(REQUESTS.substring(0, cut)));
                for (int from = cut; from < REQUESTS.length(); from += step) {
                    channel.writeInbound(bytes(REQUESTS.substring(from, Math.min(from + step, REQUESTS.length()))));
                }
                assertEquals("POST/a1abcdefg.GET/b2.POST/cnullhi.GET/dnull.", describe(channel), cut + " " + step);
            }
        }
    }

    /** Guards against the cost of decoded fields of a head that may never be completed. */
    @Test
    void aHeadIsNotDecodedBeforeItIsWhole() {
        Recorder recorder = new Recorder();
        EmbeddedChannel channel = new EmbeddedChannel(new RequestDecoder(recorder));
        ByteBuf read = Unpooled.directBuffer(256).writeBytes(bytes("GET /a HTTP/1.1\r\na: b\r\na: b\r\n"));
        channel.writeInbound(read);
        assertNull(channel.readInbound());
        assertEquals(29, recorder.heldBytes);
        assertEquals(0, read.refCnt(), "the buffer that was read into is kept");
        channel.writeInbound(bytes("\r\n"));
        assertEquals(0, recorder.heldBytes);
        assertEquals("GET/anull.", describe(channel));
    }

    /** Guards against requests of one client that are decoded, and take memory, long before they are served. */
    @Test
    void theNextRequestWaitsUntilItIsAccepted() throws Exception {
        Recorder recorder = new Recorder();
        RequestDecoder decoder = new RequestDecoder(recorder);
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        recorder.accepts = false;
        channel.writeInbound(bytes("GET /a HTTP/1.1\r\n\r\n"), bytes("GET /b HTTP/1.1\r\n\r\n"));
        assertEquals(38, decoder.heldBytes());
        recorder.accepts = true;
        decoder.resume();
        assertEquals("GET/anull.GET/bnull.", describe(channel));
    }

    /** Guards against the copying of all that follows for each of many requests that were sent at once. */
    @Test
    void whatFollowsARequestIsCopiedOnce() throws Exception {
        Recorder recorder = new Recorder();
        RequestDecoder decoder = new RequestDecoder(recorder);
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        ByteBuf all = bytes("GET /a HTTP/1.1\r\n\r\n".repeat(10));
        recorder.accepts = false;
        channel.writeInbound(all);
        assertEquals(190, decoder.heldBytes());
        assertEquals(1, all.refCnt());
        decoder.discard();
        assertEquals(0, all.refCnt());
    }

    /** Guards against heads that are costly by their length or their number of fields. */
    @Test
    void headsThatAreTooLongOrOfTooManyFieldsAreInvalid() {
        for (String head : new String[] {
            "GET /a HTTP/1.1\r\n" + "a: b\r\n".repeat(RequestDecoder.MAX_FIELDS + 1) + "\r\n",
            "GET /a HTTP/1.1\r\na: " + "b".repeat(RequestDecoder.MAX_HEAD_BYTES),
            "RUBBISH\r\n"
        }) {
            EmbeddedChannel channel = new EmbeddedChannel(new RequestDecoder(new Recorder()));
            channel.writeInbound(bytes(head));
            HttpObject part = channel.readInbound();
            assertFalse(part.decoderResult().isSuccess());
            channel.writeInbound(bytes(REQUESTS));
            assertNull(channel.readInbound());
        }
    }
}
