package io.bulrushrouter.request;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.RequestId;

/**
 * The content of one stored object: consecutive claims of a shard.
 *
 * @param sequence the segment's number within its shard, from 0
 * @param records the claims, oldest first
 */
record ClaimSegment(long sequence, List<ClaimRecord> records) {

	static final ClaimSegment EMPTY = new ClaimSegment(0, List.of());

	ClaimSegment plus(List<ClaimRecord> more) {
		List<ClaimRecord> all = new ArrayList<>(this.records);
		all.addAll(more);
		return new ClaimSegment(this.sequence, List.copyOf(all));
	}

	long newestEpochSeconds() {
		return this.records.isEmpty() ? 0 : this.records.get(this.records.size() - 1).epochSeconds();
	}

	byte[] toBytes() {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packLong(this.sequence);
			packer.packArrayHeader(this.records.size());
			for (ClaimRecord record : this.records) {
				pack(packer, record);
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new BulrushException(ErrorCode.INTERNAL, "cannot encode a claim segment", ex);
		}
	}

	private static void pack(MessageBufferPacker packer, ClaimRecord record) throws IOException {
		packer.packLong(record.key().high());
		packer.packLong(record.key().low());
		packer.packLong(record.digest());
		packer.packLong(record.attempt().request().incarnation());
		packer.packLong(record.attempt().request().number());
		packer.packInt(record.attempt().attempt());
		packer.packLong(record.holder());
		packer.packLong(record.epochSeconds());
		packer.packBoolean(record.released());
	}

	static ClaimSegment ofBytes(byte[] bytes) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			long sequence = unpacker.unpackLong();
			int count = unpacker.unpackArrayHeader();
			List<ClaimRecord> records = new ArrayList<>(count);
			for (int i = 0; i < count; i++) {
				records.add(unpack(unpacker));
			}
			return new ClaimSegment(sequence, List.copyOf(records));
		}
		catch (IOException ex) {
			throw new BulrushException(ErrorCode.INTERNAL, "cannot decode a claim segment", ex);
		}
	}

	private static ClaimRecord unpack(MessageUnpacker unpacker) throws IOException {
		KeyHash key = new KeyHash(unpacker.unpackLong(), unpacker.unpackLong());
		long digest = unpacker.unpackLong();
		RequestId request = new RequestId(unpacker.unpackLong(), unpacker.unpackLong());
		return new ClaimRecord(key, digest, request.attempt(unpacker.unpackInt()), unpacker.unpackLong(),
				unpacker.unpackLong(), unpacker.unpackBoolean());
	}

}
