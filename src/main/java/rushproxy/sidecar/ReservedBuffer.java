package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * A buffer on the heap that carries its reservation. What it holds is counted until its last reference is released, which also lets go of
 * the bytes, whatever still refers to the buffer itself. It grows as bytes are written; what exceeds its reservation is taken.
 */
final class ReservedBuffer extends UnpooledHeapByteBuf {
    private final MemoryAccount account;
    /** Bytes reserved before they are needed. */
    private int reservedBytes;
    /** Bytes counted: the greater of the reservation and the capacity. */
    private int countedBytes;

    /** Creates an empty buffer without a reservation. */
    ReservedBuffer(MemoryAccount account) {
        super(UnpooledByteBufAllocator.DEFAULT, 0, Integer.MAX_VALUE);
        this.account = account;
    }

    /** Creates an empty buffer of this capacity, which has been reserved from the account. */
    static ReservedBuffer withReserved(MemoryAccount account, int bytes) {
        ReservedBuffer buffer = new ReservedBuffer(account);
        buffer.reservedBytes = buffer.countedBytes = bytes;
        buffer.capacity(bytes);
        return buffer;
    }

    /** Takes over bytes that have been reserved from the account, beside those that are counted already. */
    void addReservation(int bytes) {
        countedBytes += bytes;
        reservedBytes = countedBytes;
    }

    @Override
    public ByteBuf capacity(int newCapacity) {
        super.capacity(newCapacity);
        updateCount();
        return this;
    }

    private void updateCount() {
        int needed = Math.max(reservedBytes, capacity());
        int change = needed - countedBytes;
        countedBytes = needed;
        if (change > 0) {
            account.take(change);
        } else if (change < 0) {
            account.release(-change);
        }
    }

    /** The bytes that are counted for it; 0 once it is released. */
    int countedBytes() {
        return countedBytes;
    }

    @Override
    protected void deallocate() {
        super.deallocate();
        int bytes = countedBytes;
        countedBytes = 0;
        if (bytes > 0) {
            account.release(bytes);
        }
    }
}
