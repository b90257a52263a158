/**
 * `lovagepond fake-engine` and `fake-service`: fake backend servers for trials
 * and tests.
 */
import {
  DEFAULT_FAKE_ENGINE_SETTINGS,
  DEFAULT_FAKE_SERVER_SETTINGS,
  FakeEngineServer,
  FakeServiceServer,
} from '@lovagepond/backend';
import {type Role} from '@lovagepond/core';
import {
  EXIT_CODE,
  type ExitCode,
  formatHostPort,
  type HostPort,
  parseHostPort,
  registerSignals,
  SystemClock,
} from '@lovagepond/process';

/** Kinds of backend servers that have a fake. */
export type FakeKind = 'engine' | 'service';

/** A fake backend server and the address that it listens on. */
type FakeServer = Role & {readonly address: string};

const FAKE_FACTORIES: Readonly<
  Record<FakeKind, (address: HostPort) => FakeServer>
> = {
  engine: address => {
    const defaults = {
      ...DEFAULT_FAKE_ENGINE_SETTINGS,
      ...DEFAULT_FAKE_SERVER_SETTINGS,
    };
    const dependencies = {clock: new SystemClock()};
    return new FakeEngineServer({...defaults, ...address}, dependencies);
  },
  service: address => new FakeServiceServer(address),
};

/**
 * @param kind kind of the backend server
 * @param address address to listen on
 * @returns the fake, not started yet
 */
export function createFake(kind: FakeKind, address: HostPort): FakeServer {
  return FAKE_FACTORIES[kind](address);
}

/**
 * Runs a fake backend server until a signal ends the process.
 *
 * @param kind kind of the backend server
 * @param listen `host:port`; port 0 takes a free one
 * @returns the exit code
 */
export async function runFake(
  kind: FakeKind,
  listen: string,
): Promise<ExitCode> {
  const address = parseHostPort(listen);
  if (!address) {
    process.stderr.write(`--listen ${listen}: is not an address host:port\n`);
    return EXIT_CODE.USAGE;
  }
  const fake = createFake(kind, address);
  try {
    await fake.start();
  } catch (err) {
    const place = formatHostPort(address);
    process.stderr.write(`can't listen on ${place}: ${String(err)}\n`);
    return EXIT_CODE.START;
  }
  process.stdout.write(`fake ${kind} listens on ${fake.address}\n`);
  await new Promise<void>(resolve => {
    const unregister = registerSignals(event => {
      if (event !== 'terminate' && event !== 'interrupt') return;
      unregister();
      resolve();
    });
  });
  await fake.stop();
  return EXIT_CODE.OK;
}
