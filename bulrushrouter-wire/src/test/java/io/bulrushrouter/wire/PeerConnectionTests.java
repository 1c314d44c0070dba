package io.bulrushrouter.wire;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.timeout.IdleStateEvent;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link PeerConnection}.
 */
class PeerConnectionTests {

	private final WireCodec codec = new WireCodec();

	private final RecordingHandler handler = new RecordingHandler();

	private final EmbeddedChannel channel = new EmbeddedChannel(
			new PeerConnection(hello("own"), this.handler, new WireCounters()));

	private static WireMessage.Hello hello(String name) {
		return new WireMessage.Hello(name, name, "sidecar", "dc-1", 1);
	}

	private List<WireMessage> sent() {
		this.channel.runPendingTasks();
		List<WireMessage> messages = new ArrayList<>();
		ByteBuf batch = this.channel.readOutbound();
		while (batch.isReadable()) {
			byte[] bytes = new byte[batch.readInt()];
			batch.readBytes(bytes);
			messages.add(this.codec.decode(bytes));
		}
		batch.release();
		return messages;
	}

	private void receive(WireMessage message) {
		ByteBuf frame = Unpooled.buffer();
		this.codec.encode(message, frame);
		frame.skipBytes(Integer.BYTES);
		this.channel.writeInbound(frame);
	}

	private void peerIsSilent() {
		this.channel.pipeline().fireUserEventTriggered(IdleStateEvent.READER_IDLE_STATE_EVENT);
		this.channel.runPendingTasks();
	}

	@Test
	void closesTheConnectionToAPeerWhoseHeartbeatsStop() {
		List<WireMessage> first = sent();
		assertThat(first).hasSize(2);
		receive(hello("peer"));
		receive(first.get(1));
		peerIsSilent();
		assertThat(this.channel.isActive()).isFalse();
		assertThat(this.handler.closed).isEqualTo(1);
		assertThat(this.handler.received).isEqualTo(0);
	}

	@Test
	void sendsAHeartbeatWhenItHasNothingElseToSend() {
		List<WireMessage> first = sent();
		assertThat(first.get(0)).isEqualTo(hello("own"));
		this.channel.pipeline().fireUserEventTriggered(IdleStateEvent.WRITER_IDLE_STATE_EVENT);
		List<WireMessage> idle = sent();
		assertThat(idle).hasSize(1);
		assertThat(((WireMessage.Control) idle.get(0)).topic()).isEqualTo(((WireMessage.Control) first.get(1)).topic());
	}

	@Test
	void closesAConnectionOnWhichNoHelloArrives() {
		peerIsSilent();
		assertThat(this.channel.isActive()).isFalse();
	}

	@Test
	void keepsTheConnectionToAPeerThatSendsNoHeartbeats() {
		receive(hello("peer"));
		peerIsSilent();
		assertThat(this.channel.isActive()).isTrue();
	}

	private static final class RecordingHandler implements PeerHandler {

		private int received;

		private int closed;

		@Override
		public void connected(PeerConnection connection) {
		}

		@Override
		public void received(PeerConnection connection, WireMessage message) {
			this.received++;
		}

		@Override
		public void closed(PeerConnection connection) {
			this.closed++;
		}

	}

}
