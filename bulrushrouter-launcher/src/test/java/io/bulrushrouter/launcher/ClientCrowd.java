package io.bulrushrouter.launcher;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.function.Supplier;

/**
 * Clients that send requests at the same time on one connection each. A client whose
 * connection has ended opens the next one, up to a limit.
 */
final class ClientCrowd implements AutoCloseable {

	private static final int MAX_CONNECTIONS_OF_CLIENT = 200;

	private static final long SELECT_MILLIS = 100;

	private final InetSocketAddress address;

	private final Supplier<ClientShape> shapes;

	private final Selector selector = Selector.open();

	private long sent;

	private final ByteBuffer discarded = ByteBuffer.allocateDirect(64 * 1024);

	/**
	 * Creates a crowd.
	 * @param address where the clients connect
	 * @param shapes chooses what a client sends on its next connection
	 */
	ClientCrowd(InetSocketAddress address, Supplier<ClientShape> shapes) throws IOException {
		this.address = address;
		this.shapes = shapes;
	}

	/**
	 * Lets the clients send for a time, and calls an observer meanwhile.
	 * @param clients the number of clients
	 * @param time the time, after which all connections are closed
	 * @param observer called about ten times a second
	 */
	void run(int clients, Duration time, Observer observer) throws IOException {
		for (int index = 0; index < clients; index++) {
			new Client().connect();
		}
		long endNanos = System.nanoTime() + time.toNanos();
		long nextNanos = 0;
		while (System.nanoTime() < endNanos) {
			this.selector.select((key) -> ((Client) key.attachment()).proceed(key), SELECT_MILLIS);
			if (System.nanoTime() >= nextNanos) {
				observer.observe();
				nextNanos = System.nanoTime() + Duration.ofMillis(SELECT_MILLIS).toNanos();
			}
		}
	}

	@Override
	public void close() throws IOException {
		for (SelectionKey key : this.selector.keys()) {
			key.channel().close();
		}
		this.selector.close();
	}

	/**
	 * Looks at the entry while the clients send.
	 */
	@FunctionalInterface
	interface Observer {

		void observe() throws IOException;

	}

	private final class Client {

		private int connections;

		private ClientShape shape;

		private ByteBuffer unsent;

		private void connect() {
			if (this.connections++ >= MAX_CONNECTIONS_OF_CLIENT) {
				return;
			}
			this.shape = ClientCrowd.this.shapes.get();
			this.unsent = this.shape.next(ClientCrowd.this.sent++);
			try {
				SocketChannel channel = SocketChannel.open();
				channel.configureBlocking(false);
				channel.connect(ClientCrowd.this.address);
				channel.register(ClientCrowd.this.selector, SelectionKey.OP_CONNECT, this);
			}
			catch (IOException ex) {
				throw new IllegalStateException("a client has no socket", ex);
			}
		}

		private void proceed(SelectionKey key) {
			SocketChannel channel = (SocketChannel) key.channel();
			try {
				if (key.isConnectable()) {
					channel.finishConnect();
				}
				boolean received = key.isReadable() && read(channel);
				if (received && this.shape.whole() && !this.unsent.hasRemaining()) {
					this.unsent = this.shape.next(ClientCrowd.this.sent++);
				}
				channel.write(this.unsent);
				key.interestOps((this.shape.reads() ? SelectionKey.OP_READ : 0)
						| (this.unsent.hasRemaining() ? SelectionKey.OP_WRITE : 0));
			}
			catch (IOException ex) {
				reconnect(channel);
			}
		}

		private boolean read(SocketChannel channel) throws IOException {
			ClientCrowd.this.discarded.clear();
			int bytes = channel.read(ClientCrowd.this.discarded);
			if (bytes < 0) {
				throw new IOException("the entry has closed the connection");
			}
			return bytes > 0;
		}

		private void reconnect(SocketChannel channel) {
			try {
				channel.close();
			}
			catch (IOException ex) {
				throw new IllegalStateException("a socket cannot be closed", ex);
			}
			connect();
		}

	}

}
