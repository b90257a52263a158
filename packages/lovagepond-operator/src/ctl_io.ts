/**
 * Connects the `ctl` commands to the standard streams, files and clock of this
 * process.
 */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {text} from 'node:stream/consumers';
import {setTimeout as wait} from 'node:timers/promises';
import {type CtlIo} from './ctl_types.js';

const STANDARD_INPUT = '-';

/** @returns an implementation that uses the streams, files and clock */
export function createCtlIo(): CtlIo {
  return {
    now: () => performance.now(),
    wait: delayMs => wait(delayMs),
    write: output => {
      process.stdout.write(output);
    },
    writeError: output => {
      process.stderr.write(output);
    },
    readFile: path =>
      path === STANDARD_INPUT ? text(process.stdin) : readFile(path, 'utf8'),
    setExitCode: code => {
      process.exitCode = code;
    },
    createOperationId: randomUUID,
  };
}
