package org.damaskmoor.core.configuration.internal;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * A range of IP addresses, for example {@code 10.0.0.0/8}.
 *
 * <p>Invariant: no bit beyond the prefix is set. Immutable and thread-safe.
 */
public final class AddressRange {
    private static final Pattern IPV4 = Pattern.compile("(\\d{1,3}\\.){3}\\d{1,3}");
    private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");
    private static final Pattern PREFIX_LENGTH = Pattern.compile("\\d{1,3}");
    private static final int IPV4_BYTES = 4;
    private static final int MAPPED_PREFIX_BYTES = 12;

    private final byte[] network;
    private final int bits;

    private AddressRange(byte[] network, int bits) {
        this.network = network;
        this.bits = bits;
    }

    /** Parses a range; empty if it is malformed. Never resolves a host name. */
    public static Optional<AddressRange> parse(String text) {
        int slash = text.indexOf('/');
        if (slash < 0 || !PREFIX_LENGTH.matcher(text.substring(slash + 1)).matches()) {
            return Optional.empty();
        }
        int bits = Integer.parseInt(text.substring(slash + 1));
        return parseAddress(text.substring(0, slash))
                .filter(address -> bits <= address.length * Byte.SIZE)
                .filter(address -> hasNoHostBits(address, bits))
                .map(address -> new AddressRange(address, bits));
    }

    private static Optional<byte[]> parseAddress(String text) {
        if (!IPV4.matcher(text).matches() && !IPV6.matcher(text).matches()) {
            return Optional.empty();
        }
        try {
            for (InetAddress address : InetAddress.getAllByName(text)) {
                return Optional.of(address.getAddress());
            }
        } catch (UnknownHostException malformed) {
            return Optional.empty();
        }
        return Optional.empty();
    }

    private static boolean hasNoHostBits(byte[] address, int bits) {
        for (int bit = bits; bit < address.length * Byte.SIZE; bit++) {
            if (bitOf(address, bit) != 0) {
                return false;
            }
        }
        return true;
    }

    private static int bitOf(byte[] address, int bit) {
        return (address[bit / Byte.SIZE] >> (Byte.SIZE - 1 - bit % Byte.SIZE)) & 1;
    }

    /** Returns whether the address of 4 or 16 bytes is in the range. */
    public boolean contains(byte[] address) {
        int offset = 0;
        if (address.length != network.length) {
            if (network.length != IPV4_BYTES || !isMapped(address)) {
                return false;
            }
            offset = MAPPED_PREFIX_BYTES;
        }
        int wholeBytes = bits / Byte.SIZE;
        for (int i = 0; i < wholeBytes; i++) {
            if (address[offset + i] != network[i]) {
                return false;
            }
        }
        int remainingBits = bits % Byte.SIZE;
        return remainingBits == 0
                || ((address[offset + wholeBytes] ^ network[wholeBytes])
                                & (0xFF << (Byte.SIZE - remainingBits)))
                        == 0;
    }

    /** Returns whether 16 bytes are an IPv4-mapped IPv6 address. */
    private static boolean isMapped(byte[] address) {
        for (int i = 0; i < MAPPED_PREFIX_BYTES - 2; i++) {
            if (address[i] != 0) {
                return false;
            }
        }
        return address[MAPPED_PREFIX_BYTES - 2] == -1 && address[MAPPED_PREFIX_BYTES - 1] == -1;
    }
}
