package io.bulrushrouter.ranks;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

import io.bulrushrouter.experts.live.RankOrder;

/**
 * A {@link RankOrder} as it is sent between sidecars. A map is the largest message and
 * goes to all ranks: it is encoded once, and relays pass it on as it is.
 *
 * @param bytes the encoded order
 */
record EncodedOrder(byte[] bytes) {

	private static final byte PREPARE = 1;

	private static final byte ARM = 2;

	private static final byte DISARM = 3;

	private static final byte HOLD = 4;

	private static final byte GO = 5;

	/** The largest element that is encoded in one byte. */
	private static final int MAX_ONE_BYTE = 255;

	static EncodedOrder of(RankOrder order) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			if (order instanceof RankOrder.Prepare prepare) {
				packer.packByte(PREPARE).packLong(prepare.version()).packArrayHeader(prepare.experts().length);
				for (int[][] set : prepare.experts()) {
					byte[] lists = encode(set);
					packer.packArrayHeader(set.length).packBinaryHeader(lists.length).writePayload(lists);
				}
			}
			else if (order instanceof RankOrder.Arm arm) {
				packer.packByte(ARM).packLong(arm.version()).packLong(arm.step());
			}
			else if (order instanceof RankOrder.Disarm disarm) {
				packer.packByte(DISARM).packLong(disarm.version());
			}
			else if (order instanceof RankOrder.Hold hold) {
				packer.packByte(HOLD).packLong(hold.step());
			}
			else if (order instanceof RankOrder.Go go) {
				packer.packByte(GO).packLong(go.step());
			}
			return new EncodedOrder(packer.toByteArray());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// The width of the elements, then the length of each list and its elements, all of
	// which are as wide.
	private static byte[] encode(int[][] lists) {
		int largest = lists.length;
		int values = lists.length;
		for (int[] list : lists) {
			largest = Math.max(largest, list.length);
			values += list.length;
			for (int element : list) {
				largest = Math.max(largest, element);
			}
		}
		int width = (largest > MAX_ONE_BYTE) ? 2 : 1;
		byte[] bytes = new byte[1 + values * width];
		bytes[0] = (byte) width;
		int position = 1;
		for (int[] list : lists) {
			position = put(bytes, position, width, list.length);
			for (int element : list) {
				position = put(bytes, position, width, element);
			}
		}
		return bytes;
	}

	private static int put(byte[] bytes, int position, int width, int value) {
		bytes[position] = (byte) value;
		if (width > 1) {
			bytes[position + 1] = (byte) (value >> Byte.SIZE);
		}
		return position + width;
	}

	private static int get(byte[] bytes, int position, int width) {
		int low = bytes[position] & MAX_ONE_BYTE;
		return (width > 1) ? low | (bytes[position + 1] & MAX_ONE_BYTE) << Byte.SIZE : low;
	}

	private static int[][] decode(int count, byte[] bytes) {
		int width = bytes[0];
		int position = 1;
		int[][] lists = new int[count][];
		for (int list = 0; list < count; list++) {
			lists[list] = new int[get(bytes, position, width)];
			position += width;
			for (int index = 0; index < lists[list].length; index++) {
				lists[list][index] = get(bytes, position, width);
				position += width;
			}
		}
		return lists;
	}

	/**
	 * Decodes the order.
	 * @return the order
	 * @throws IllegalArgumentException if the bytes are no order of a known type
	 */
	RankOrder decode() {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(this.bytes)) {
			int type = unpacker.unpackByte();
			long versionOrStep = unpacker.unpackLong();
			return switch (type) {
				case PREPARE -> new RankOrder.Prepare(versionOrStep, unpackSets(unpacker));
				case ARM -> new RankOrder.Arm(versionOrStep, unpacker.unpackLong());
				case DISARM -> new RankOrder.Disarm(versionOrStep);
				case HOLD -> new RankOrder.Hold(versionOrStep);
				case GO -> new RankOrder.Go(versionOrStep);
				default -> throw new IllegalArgumentException("unknown order type: " + type);
			};
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static int[][][] unpackSets(MessageUnpacker unpacker) throws IOException {
		int[][][] sets = new int[unpacker.unpackArrayHeader()][][];
		for (int set = 0; set < sets.length; set++) {
			int count = unpacker.unpackArrayHeader();
			sets[set] = decode(count, unpacker.readPayload(unpacker.unpackBinaryHeader()));
		}
		return sets;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof EncodedOrder order && Arrays.equals(order.bytes, this.bytes);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.bytes);
	}

}
