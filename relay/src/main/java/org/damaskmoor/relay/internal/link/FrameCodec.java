package org.damaskmoor.relay.internal.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.damaskmoor.schema.link.LinkFrame;

/**
 * Adds the codec of link frames to channels.
 *
 * <p>The first frame of a link is small, so that a stranger that connects to the port can't make
 * this process buffer a large one. Thread-safe: pure functions.
 */
final class FrameCodec {
    /** Fits the hello, which contains one member record. */
    private static final int MAX_FIRST_FRAME_BYTES = 64 * 1024;

    /** Fits a body of the configured maximum of 64 MB and its headers. */
    private static final int MAX_FRAME_BYTES = 72 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;

    private FrameCodec() {}

    static void add(Channel channel, ChannelHandler handler) {
        channel.pipeline()
                .addLast(
                        frameDecoder(MAX_FIRST_FRAME_BYTES),
                        new ProtobufDecoder(LinkFrame.getDefaultInstance()),
                        new LengthFieldPrepender(LENGTH_BYTES),
                        new ProtobufEncoder(),
                        handler);
    }

    /** Accepts frames with large bodies, after the peer has said who it is. */
    static void acceptLargeFrames(Channel channel) {
        channel.pipeline()
                .replace(LengthFieldBasedFrameDecoder.class, null, frameDecoder(MAX_FRAME_BYTES));
    }

    private static LengthFieldBasedFrameDecoder frameDecoder(int maxFrameBytes) {
        return new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }
}
