package org.damaskmoor.relay.internal.fleet;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses configurations that nodes send each other: one with a thousand routes has a quarter of
 * a megabyte, and the reader of a data centre sends it to every node there over a narrow link.
 * Thread-safe: pure functions.
 */
final class TextCompression {
    private static final int BUFFER_BYTES = 16 * 1024;

    private TextCompression() {}

    static ByteString compress(ByteString text) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(text.asReadOnlyByteBuffer());
            deflater.finish();
            ByteString.Output compressed = ByteString.newOutput();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                compressed.write(buffer, 0, deflater.deflate(buffer));
            }
            return compressed.toByteString();
        } finally {
            deflater.end();
        }
    }

    /**
     * Decompresses a text.
     *
     * @param maxBytes greatest length of the text
     * @throws DataFormatException if the bytes are not a compressed text of at most that length
     */
    static ByteString decompress(ByteString compressed, int maxBytes) throws DataFormatException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed.asReadOnlyByteBuffer());
            ByteArrayOutputStream text = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int length = inflater.inflate(buffer);
                if (length == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    throw new DataFormatException("The compressed text is not complete.");
                }
                if (text.size() + length > maxBytes) {
                    throw new DataFormatException("The text is longer than " + maxBytes);
                }
                text.write(buffer, 0, length);
            }
            return ByteString.copyFrom(text.toByteArray());
        } finally {
            inflater.end();
        }
    }
}
