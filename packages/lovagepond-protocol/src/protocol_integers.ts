/**
 * Makes 64-bit fields of the generated messages plain numbers.
 *
 * protobufjs yields `Long` objects for them wherever the package `long`
 * happens to be installed, although the generated types say `number`; adding
 * to one then joins texts. Every 64-bit field of the protocol is a safe
 * integer, so numbers lose nothing. Import this before the generated code.
 */
import protobuf from 'protobufjs/minimal.js';

interface IntegerSettings {
  Long: unknown;
}

(protobuf.util as unknown as IntegerSettings).Long = undefined;
protobuf.configure();
