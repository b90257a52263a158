/**
 * Entry point of `npm run measure`: runs the named measurements, or all.
 */
import {formatSection} from './measure_print.js';
import {MEASUREMENTS} from './measure_table.js';

async function runMeasures(names: readonly string[]): Promise<number> {
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
    const sections = (await MEASUREMENTS[name]?.()) ?? [];
    for (const section of sections) console.log(formatSection(section));
    const seconds = (performance.now() - started) / 1000;
    console.log(`(${name}: ${seconds.toFixed(1)} s)\n`);
  }
  return 0;
}

runMeasures(process.argv.slice(2)).then(
  code => {
    process.exitCode = code;
  },
  (err: unknown) => {
    console.error(err);
    process.exitCode = 1;
  },
);
