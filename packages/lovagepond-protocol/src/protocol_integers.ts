/**
 * Makes 64-bit fields of the generated messages decode as plain numbers.
 *
 * protobufjs decodes them as `Long` objects when the package `long` happens to
 * be installed, although the generated types say `number`; adding a number to
 * such an object concatenates strings. All 64-bit fields of the protocol are
 * safe integers, so numbers are exact. Import this module before the generated
 * code.
 */
import protobuf from 'protobufjs/minimal.js';

interface IntegerSettings {
  Long: unknown;
}

(protobuf.util as unknown as IntegerSettings).Long = undefined;
protobuf.configure();
