/**
 * Entry point of the program.
 */
import {EXIT_CODE} from '@lovagepond/process/exit_codes';
import {runCommandLine} from './command_line.js';

runCommandLine(process.argv).catch((err: unknown) => {
  process.stderr.write(`${String(err)}\n`);
  process.exitCode = EXIT_CODE.INTERNAL;
});
