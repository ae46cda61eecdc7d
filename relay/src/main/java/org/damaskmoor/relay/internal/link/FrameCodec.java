package org.damaskmoor.relay.internal.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.damaskmoor.schema.link.LinkFrame;

/** Adds the codec of link frames to channels. Thread-safe: pure functions. */
final class FrameCodec {
    /** Fits a body of the configured maximum of 64 MB and its headers. */
    private static final int MAX_FRAME_BYTES = 72 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;

    private FrameCodec() {}

    static void add(Channel channel, ChannelHandler handler) {
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                        new ProtobufDecoder(LinkFrame.getDefaultInstance()),
                        new LengthFieldPrepender(LENGTH_BYTES),
                        new ProtobufEncoder(),
                        handler);
    }
}
