package io.bulrushrouter.wire;

/**
 * Hears what happens on connections between processes, on network threads.
 */
public interface PeerHandler {

	/**
	 * Hears that the other side has introduced itself.
	 * @param connection the connection
	 */
	void connected(PeerConnection connection);

	/**
	 * Takes a message.
	 * @param connection the connection
	 * @param message the message
	 */
	void received(PeerConnection connection, WireMessage message);

	/**
	 * Hears that a connection that had been introduced is gone.
	 * @param connection the connection
	 */
	void closed(PeerConnection connection);

}
