package org.damaskmoor.bench.link;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class StreamLinkHandlerTest {
    private static final Link.Profile THIRTY_MILLISECONDS =
            new Link.Profile(TimeUnit.MILLISECONDS.toNanos(30), 0, false, 0);

    private final Link outgoing = new Link(THIRTY_MILLISECONDS, new LinkRate());
    private final Link incoming = new Link(THIRTY_MILLISECONDS, new LinkRate());
    private long now;
    private final EmbeddedChannel channel =
            new EmbeddedChannel(new StreamLinkHandler(new LinkPair(outgoing, incoming), () -> now));

    StreamLinkHandlerTest() {
        channel.freezeTime();
    }

    @AfterEach
    void stop() {
        channel.finishAndReleaseAll();
    }

    private void advance(long milliseconds) {
        now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
        channel.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private void write(String text) {
        ChannelFuture unused = channel.write(text(text));
    }

    private static ByteBuf text(String text) {
        return Unpooled.copiedBuffer(text, UTF_8);
    }

    private List<String> sent() {
        List<String> texts = new ArrayList<>();
        for (ByteBuf buffer = channel.readOutbound();
                buffer != null;
                buffer = channel.readOutbound()) {
            texts.add(buffer.toString(UTF_8));
            buffer.release();
        }
        return texts;
    }

    @Test
    void should_deliver_in_order_after_the_delay_when_written() {
        // given
        write("a");
        advance(10);
        write("b");

        // when
        advance(19);
        List<String> before = sent();
        advance(1);
        List<String> atDelay = sent();
        advance(10);

        // then
        assertThat(before).isEmpty();
        assertThat(atDelay).containsExactly("a");
        assertThat(sent()).containsExactly("b");
    }

    @Test
    void should_keep_order_when_the_delay_becomes_shorter() {
        // given
        write("a");
        outgoing.change(new Link.Profile(0, 0, false, 0));
        write("b");

        // when
        advance(29);
        List<String> before = sent();
        advance(1);

        // then
        assertThat(before).isEmpty();
        assertThat(sent()).containsExactly("a", "b").inOrder();
    }

    @Test
    void should_delay_by_transmission_time_when_the_rate_is_limited() {
        // given
        outgoing.change(new Link.Profile(0, 8_000, false, 0));

        // when
        write("0123456789");
        write("abcdefghij");
        advance(10);
        List<String> first = sent();
        advance(10);

        // then
        assertThat(first).containsExactly("0123456789");
        assertThat(sent()).containsExactly("abcdefghij");
    }

    @Test
    void should_hold_bytes_back_until_healed_when_cut() {
        // given
        outgoing.change(new Link.Profile(0, 0, true, 0));
        write("a");
        advance(5000);
        List<String> whileCut = sent();

        // when
        outgoing.change(new Link.Profile(0, 0, false, 0));
        advance(50);

        // then
        assertThat(whileCut).isEmpty();
        assertThat(sent()).containsExactly("a");
    }

    @Test
    void should_drop_bytes_in_both_directions_when_silenced_after_opening() {
        // given
        outgoing.change(new Link.Profile(0, 0, false, 1));

        // when
        write("a");
        channel.writeInbound(text("b"));
        advance(5000);

        // then
        assertThat(sent()).isEmpty();
        assertThat(channel.<Object>readInbound()).isNull();
        assertThat(channel.isOpen()).isTrue();
    }

    @Test
    void should_send_what_was_written_before_when_closed() {
        // given
        write("a");

        // when
        ChannelFuture closing = channel.pipeline().close();
        boolean closedBefore = closing.isDone();
        advance(30);

        // then
        assertThat(closedBefore).isFalse();
        assertThat(sent()).containsExactly("a");
        assertThat(closing.isDone()).isTrue();
    }
}
