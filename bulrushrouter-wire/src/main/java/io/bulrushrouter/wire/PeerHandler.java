package io.bulrushrouter.wire;

/**
 * Handles the events of connections between processes. It is called on event loop threads
 * and must not block.
 */
public interface PeerHandler {

	/**
	 * Called when the hello message of the peer has arrived.
	 * @param connection the connection
	 */
	void connected(PeerConnection connection);

	/**
	 * Called when a message other than the hello has arrived.
	 * @param connection the connection
	 * @param message the message
	 */
	void received(PeerConnection connection, WireMessage message);

	/**
	 * Called when a connection has closed whose peer had sent its hello message.
	 * @param connection the connection
	 */
	void closed(PeerConnection connection);

}
