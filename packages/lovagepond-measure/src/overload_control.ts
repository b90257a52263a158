/**
 * A process with one real control member, which also announces the stand-in
 * servers. The product registers servers without a sidecar by calls within the
 * control process; only the platform's adapter has an HTTP call for it.
 */
import {
  CONTROL_DEFAULTS,
  CONTROL_TIMINGS,
  ControlRole,
} from '@lovagepond/control';
import {Random} from '@lovagepond/core';
import {MEASURE_CLOCK, NO_LOG} from './measure_environment.js';
import {type ControlProcessSettings} from './overload_types.js';

/** A third of the lease. */
const ANNOUNCE_INTERVAL_MS = 1_000;
const FIRST_INTERVAL_MS = 50;

/** From the parent whenever a server crashes or comes back. */
export interface ControlCommand {
  /** Start of each server, wall time in ms; undefined while it is down. */
  readonly starts: readonly (number | undefined)[];
}

async function announceAll(
  {directServers}: ControlRole,
  settings: ControlProcessSettings,
  {starts}: ControlCommand,
): Promise<boolean> {
  const answers = settings.addresses.map((address, at) => {
    const startedAtMs = starts[at] ?? undefined;
    if (startedAtMs === undefined) return undefined;
    return directServers.announce({
      incarnation: `server-${at}`,
      startedAtMs,
      pool: settings.pool,
      address,
      availabilityZone: 'zone',
      region: 'region',
      slots: settings.slots,
      version: 'v1',
      models: [],
      leaving: false,
      sequence: Date.now(),
    });
  });
  const kinds = await Promise.all(answers);
  return kinds.every(answer => !answer || answer.kind === 'accepted');
}

/** Tells the parent once this member, as leader, has announced all servers. */
async function serve(settings: ControlProcessSettings): Promise<void> {
  const {name, port, members, folder, configuration: content} = settings;
  const control = new ControlRole(
    {
      ...CONTROL_DEFAULTS,
      nodeName: name,
      region: 'region',
      availabilityZone: 'zone',
      address: `127.0.0.1:${port}`,
      host: '127.0.0.1',
      port,
      administrationAddress: '',
      members,
      dataFolder: folder,
    },
    {
      clock: MEASURE_CLOCK,
      log: NO_LOG,
      random: new Random(port),
      timings: CONTROL_TIMINGS,
      processStartedAt: 0,
    },
  );
  let command: ControlCommand = {starts: settings.addresses.map(() => 1)};
  process.on('message', message => {
    command = message as ControlCommand;
  });
  await control.start();
  const announce = async (): Promise<void> => {
    const document = {version: 1, source: '', content};
    const installed = await control.documents.install(document);
    if (installed.kind === 'invalid') {
      throw new Error(JSON.stringify(installed.faults));
    }
    const isDone =
      installed.kind === 'accepted' &&
      (await announceAll(control, settings, command));
    if (isDone) process.send?.('announced');
    const interval = isDone ? ANNOUNCE_INTERVAL_MS : FIRST_INTERVAL_MS;
    setTimeout(() => void announce(), interval);
  };
  await announce();
}

/** Runs the member whose settings the parent sends first. */
export function runControlProcess(): void {
  process.on('disconnect', () => process.exit());
  process.once('message', settings => {
    void serve(settings as ControlProcessSettings);
  });
}
