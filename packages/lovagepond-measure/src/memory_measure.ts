/**
 * Resident memory of each idle role, compared with that of Node and of the
 * loaded libraries.
 *
 * Starts the bundle's processes one after the other with the loopback examples
 * and stops each by its process id.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {type MeasureSection} from './measure_types.js';

const BUNDLE = 'dist/lovagepond.cjs';
const EXAMPLES = 'examples/loopback';
const SETTLE_MS = 2_000;
const READY_TEXT = 'started';
const KIB_PER_MIB = 1_024;

const KEEP_RUNNING = `console.log('${READY_TEXT}'); setInterval(() => {}, 1e9);`;
const LIBRARIES: readonly string[] = [
  'reflect-metadata',
  'tsyringe',
  '@grpc/grpc-js',
  'protobufjs/minimal.js',
  '@tinyhttp/app',
  'undici',
  'prom-client',
  'roarr',
  'ini',
  'zod',
  'commander',
  'pure-rand/generator/xoroshiro128plus',
  'xxhash-wasm',
];

/** A process to measure. */
interface Subject {
  readonly name: string;
  readonly args: readonly string[];
}

/** A role and its example settings file. */
interface RoleExample {
  readonly role: string;
  readonly file: string;
}

const ROLE_EXAMPLES: readonly RoleExample[] = [
  {role: 'router', file: 'router-1.ini'},
  {role: 'sidecar', file: 'sidecar-1.ini'},
  {role: 'control', file: 'control-1.ini'},
];

/**
 * Rewrites the settings to free ports and a separate folder, to avoid conflicts
 * with processes that already run from the same examples.
 */
function writeIdleSettings({role, file}: RoleExample, folder: string): string {
  const text = readFileSync(join(EXAMPLES, file), 'utf8');
  const settings = text
    .replace(/^(listen|address)\s*=\s*(\S+):\d+/gm, '$1 = $2:0')
    .replace(/^dataFolder\s*=.*$/m, `dataFolder = ${join(folder, role)}`);
  const path = join(folder, file);
  mkdirSync(join(folder, role), {recursive: true});
  writeFileSync(path, settings);
  return path;
}

function listSubjects(folder: string): Subject[] {
  const imports = LIBRARIES.map(name => `await import('${name}');`).join('\n');
  const script = ['--input-type=module', '-e'];
  return [
    {name: 'Node floor', args: [...script, KEEP_RUNNING]},
    {name: 'libraries loaded', args: [...script, imports + KEEP_RUNNING]},
    ...ROLE_EXAMPLES.map(example => ({
      name: `${example.role}, idle`,
      args: [BUNDLE, example.role, '-c', writeIdleSettings(example, folder)],
    })),
  ];
}

/** Keeps reading after the start: a full pipe would block the child. */
function waitUntilStarted(child: ChildProcess): Promise<void> {
  return new Promise((resolve, reject) => {
    let output = '';
    child.stdout?.on('data', data => {
      output += String(data);
      if (output.includes(READY_TEXT)) resolve();
    });
    child.once('exit', () => {
      reject(
        new Error(`the process exited before its start was logged: ${output}`),
      );
    });
  });
}

function readResidentMiB(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kib = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1]);
  return kib / KIB_PER_MIB;
}

async function measureSubject({args}: Subject): Promise<number> {
  const child = spawn(process.execPath, args, {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = once(child, 'exit');
  try {
    await waitUntilStarted(child);
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    return readResidentMiB(child.pid ?? 0);
  } finally {
    child.kill('SIGKILL');
    await exited;
  }
}

/**
 * Needs the bundle: run `node scripts/build.mjs --bundle-only` first.
 *
 * @returns a table of resident memory in MiB
 */
export async function measureMemory(): Promise<MeasureSection> {
  const folder = mkdtempSync(join(tmpdir(), 'lovagepond-memory-'));
  try {
    const rows: (readonly (string | number)[])[] = [];
    let floor = 0;
    for (const subject of listSubjects(folder)) {
      const resident = await measureSubject(subject);
      if (rows.length === 0) floor = resident;
      const values = [resident, resident - floor].map(value =>
        value.toFixed(1),
      );
      rows.push([subject.name, ...values]);
    }
    return {
      title: 'Resident memory of each idle role',
      columns: ['process', 'resident MiB', 'above Node floor MiB'],
      rows,
      notes: [
        `One process at a time; VmRSS ${SETTLE_MS / 1_000} s after its start line.`,
        'Roles run from the bundle with examples/loopback on free ports.',
      ],
    };
  } finally {
    rmSync(folder, {recursive: true, force: true});
  }
}
