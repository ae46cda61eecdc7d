package org.damaskmoor.relay.internal.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.damaskmoor.schema.link.LinkFrame;

/** Sets up a channel that carries link frames. Thread-safe: pure functions. */
final class FrameCodec {
    /** A body at the configured bound of 64 MB, with its headers. */
    private static final int MOST_FRAME_BYTES = 72 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;

    private FrameCodec() {}

    static void add(Channel channel, ChannelHandler handler) {
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                MOST_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                        new ProtobufDecoder(LinkFrame.getDefaultInstance()),
                        new LengthFieldPrepender(LENGTH_BYTES),
                        new ProtobufEncoder(),
                        handler);
    }
}
