package io.bulrushrouter.gateway.forward;

/**
 * Size of the socket buffers of all connections.
 */
final class SocketBuffers {

	/**
	 * Bytes that the operating system holds for each direction of a connection, which
	 * count toward the memory of the instance. Left alone they grow to some megabytes
	 * when a peer reads slowly. 32 KB carry 16 MB/s at a round trip of 2 ms.
	 */
	static final int BYTES = 32 * 1024;

	private SocketBuffers() {
	}

}
