/**
 * Entry point of `npm run measure`: runs the named measurements, or all. The
 * arguments from the first option on go to the measurements.
 */
import {formatSection} from './measure_print.js';
import {MEASUREMENTS} from './measure_table.js';
import {OVERLOAD_PROCESSES} from './overload_measure.js';

async function runMeasures(args: readonly string[]): Promise<number> {
  const firstOption = args.findIndex(arg => arg.startsWith('-'));
  const end = firstOption < 0 ? args.length : firstOption;
  const names = args.slice(0, end);
  const unknown = names.filter(name => !Object.hasOwn(MEASUREMENTS, name));
  if (unknown.length > 0) {
    const known = Object.keys(MEASUREMENTS).join(', ');
    console.error(
      `unknown measurement "${unknown.join('", "')}"; available: ${known}`,
    );
    return 2;
  }
  const selected = names.length > 0 ? names : Object.keys(MEASUREMENTS);
  for (const name of selected) {
    const started = performance.now();
    const sections = (await MEASUREMENTS[name]?.(args.slice(end))) ?? [];
    for (const section of sections) console.log(formatSection(section));
    const seconds = (performance.now() - started) / 1000;
    console.log(`(${name}: ${seconds.toFixed(1)} s)\n`);
  }
  return 0;
}

const childProcess = OVERLOAD_PROCESSES[process.argv[2] ?? ''];
if (childProcess) childProcess();
else {
  runMeasures(process.argv.slice(2)).then(
    code => {
      process.exitCode = code;
    },
    (err: unknown) => {
      console.error(err);
      process.exitCode = 1;
    },
  );
}
