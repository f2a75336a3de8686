package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class ClientInputTest {
    private static final int READ_BYTES = 16 * 1024;

    /** Counts the accesses to single bytes. */
    private static final class CountingBuffer extends UnpooledHeapByteBuf {
        int accesses;

        CountingBuffer(String text) {
            super(UnpooledByteBufAllocator.DEFAULT, text.getBytes(StandardCharsets.US_ASCII), text.length());
        }

        @Override
        protected byte _getByte(int index) {
            accesses++;
            return super._getByte(index);
        }

        @Override
        public byte getByte(int index) {
            accesses++;
            return super.getByte(index);
        }
    }

    /** Guards against an event loop that is late because each read of a body is searched byte by byte for further requests. */
    @Test
    void aReadOfABodyIsNotSearchedByteByByte() {
        for (String body : new String[] {"x".repeat(READ_BYTES), "H".repeat(READ_BYTES)}) {
            CountingBuffer read = new CountingBuffer(body);
            ClientInput.mayHoldSeveralRequests(read);
            assertTrue(read.accesses < READ_BYTES / 8, read.accesses + " accesses");
        }
    }

    @Test
    void severalRequestsInOneReadAreRecognised() {
        String request = SidecarRig.getRequest("a", 100);
        assertFalse(ClientInput.mayHoldSeveralRequests(bytes(request)));
        assertTrue(ClientInput.mayHoldSeveralRequests(bytes(request + request)));
        assertTrue(ClientInput.mayHoldSeveralRequests(bytes("x".repeat(READ_BYTES) + request + "GET / HTTP/1.")));
        assertFalse(ClientInput.mayHoldSeveralRequests(bytes(request + "GET / HTTP/1")));
        ByteBuf second = bytes(request + request).skipBytes(request.length());
        assertFalse(ClientInput.mayHoldSeveralRequests(second));
        assertEquals(request.length(), second.readableBytes());
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }
}
