package io.bulrushrouter.daemon.demo;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests for {@link Demo}.
 */
class DemoTests {

	@Test
	void holdsAllPromises() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		boolean held = Demo.run(new PrintStream(out), false, false);
		assertWithMessage(out.toString()).that(held).isTrue();
	}

}
