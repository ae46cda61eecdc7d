package org.damaskmoor.relay.internal.link;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.schema.link.ForwardedAnswer;
import org.damaskmoor.schema.link.LinkFrame;
import org.damaskmoor.schema.link.LinkHello;
import org.junit.jupiter.api.Test;

class FrameCodecTest {
    private static final LinkFrame HELLO =
            LinkFrame.newBuilder().setHello(LinkHello.newBuilder().setNodeId("target")).build();
    private static final LinkFrame ANSWER =
            LinkFrame.newBuilder()
                    .setAnswer(
                            ForwardedAnswer.newBuilder()
                                    .setSequence(1)
                                    .setBody(ByteString.copyFromUtf8("body")))
                    .build();

    /** The decoder is replaced after the hello, while it may hold a part of the next frame. */
    @Test
    void should_decode_all_frames_when_a_part_of_one_arrives_with_the_hello() throws Exception {
        byte[] bytes = bytes(HELLO, ANSWER, ANSWER);
        for (int length = 0; length <= bytes.length; length++) {
            Receiver receiver = new Receiver();
            EmbeddedChannel channel = channel(receiver);

            // when
            channel.writeInbound(Unpooled.copiedBuffer(bytes, 0, length));
            channel.writeInbound(Unpooled.copiedBuffer(bytes, length, bytes.length - length));

            // then
            assertWithMessage("cut at %s", length)
                    .that(receiver.frames)
                    .containsExactly(HELLO, ANSWER, ANSWER)
                    .inOrder();
        }
    }

    @Test
    void should_drop_a_part_of_a_frame_when_its_connection_is_closed() throws Exception {
        byte[] bytes = bytes(HELLO, ANSWER);
        int helloLength = bytes(HELLO).length;
        for (int length = helloLength; length < bytes.length; length++) {
            Receiver first = new Receiver();
            Receiver second = new Receiver();
            EmbeddedChannel firstChannel = channel(first);
            EmbeddedChannel secondChannel = channel(second);

            // when
            firstChannel.writeInbound(Unpooled.copiedBuffer(bytes, 0, length));
            firstChannel.finish();
            secondChannel.writeInbound(Unpooled.copiedBuffer(bytes));

            // then
            assertThat(first.frames).containsExactly(HELLO);
            assertThat(second.frames).containsExactly(HELLO, ANSWER).inOrder();
        }
    }

    private static EmbeddedChannel channel(Receiver receiver) {
        EmbeddedChannel channel = new EmbeddedChannel();
        FrameCodec.add(channel, receiver);
        return channel;
    }

    private static byte[] bytes(LinkFrame... frames) throws IOException {
        ByteBuf buffer = Unpooled.buffer();
        try (ByteBufOutputStream output = new ByteBufOutputStream(buffer)) {
            for (LinkFrame frame : frames) {
                output.writeInt(frame.getSerializedSize());
                frame.writeTo(output);
            }
        }
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        return bytes;
    }

    private static final class Receiver extends SimpleChannelInboundHandler<LinkFrame> {
        private final List<LinkFrame> frames = new ArrayList<>();

        @Override
        protected void channelRead0(ChannelHandlerContext context, LinkFrame frame) {
            frames.add(frame);
            if (frame.hasHello()) {
                FrameCodec.acceptLargeFrames(context.channel());
            }
        }
    }
}
