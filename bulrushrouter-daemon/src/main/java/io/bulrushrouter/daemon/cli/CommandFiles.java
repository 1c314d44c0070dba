package io.bulrushrouter.daemon.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * Reads files given as command arguments.
 */
final class CommandFiles {

	private CommandFiles() {
	}

	static byte[] read(Path file) {
		try {
			return Files.readAllBytes(file);
		}
		catch (IOException ex) {
			throw new BulrushException(ErrorCode.BAD_SETTINGS, file + ": cannot be read", ex);
		}
	}

}
