/**
 * What each process believed, followed line by line.
 */
import {formatValue, type LogLine} from './explain_line.js';

/** One process's beliefs, each with the time of the line that told it. */
export interface ProcessState {
  readonly process: string;
  readonly startedAt?: number;
  readonly revision?: string;
  /** The operators' own number of the configuration. */
  readonly documentVersion?: string;
  readonly revisionAt?: number;
  readonly servers?: string;
  readonly serversAt?: number;
  /** The term in which it leads control. */
  readonly term?: string;
  readonly leadsSince?: number;
  /** The member of control it hears, or which one it lost and why. */
  readonly control?: string;
  readonly controlAt?: number;
  /** What a member of control is in its group, and who else is in it. */
  readonly group?: string;
  readonly groupAt?: number;
  readonly drainingSince?: number;
}

type Update = (line: LogLine) => Partial<ProcessState>;

function describeGroup(fields: LogLine['fields']): string {
  const text = (name: string): string => formatValue(fields[name]);
  const member = `${text('member')} is ${text('state')}`;
  const log = `log up to ${text('lastIndex')}, ${text('commitIndex')} committed`;
  return `${member} in term ${text('term')} of ${text('members')}; ${log}`;
}

/** Messages that change what a process believes. */
const STATE_UPDATES: ReadonlyMap<string, Update> = new Map<string, Update>([
  ['started', ({timeMs}) => ({startedAt: timeMs})],
  [
    'configuration installed',
    ({timeMs, fields}) => ({
      revision: formatValue(fields['revision']),
      documentVersion: formatValue(fields['documentVersion']),
      revisionAt: timeMs,
    }),
  ],
  [
    'backend servers changed',
    ({timeMs, fields}) => ({
      servers: formatValue(fields['servers']),
      serversAt: timeMs,
    }),
  ],
  [
    'control leads',
    ({timeMs, fields}) => ({
      term: formatValue(fields['term']),
      leadsSince: timeMs,
    }),
  ],
  [
    'control subscription lost',
    ({timeMs, fields}) => ({
      control: `lost ${formatValue(fields['address'])}: ${formatValue(fields['reason'])}`,
      controlAt: timeMs,
    }),
  ],
  [
    'control subscription holds',
    ({timeMs, fields}) => ({
      control: `hears ${formatValue(fields['address'])}`,
      controlAt: timeMs,
    }),
  ],
  [
    'member believes',
    ({timeMs, fields}) => ({group: describeGroup(fields), groupAt: timeMs}),
  ],
  ['draining', ({timeMs}) => ({drainingSince: timeMs})],
]);

/** Follows all processes. */
export class ProcessStateTracker {
  readonly #byProcess = new Map<string, ProcessState>();

  /** @param line the next line of its process */
  add(line: LogLine): void {
    const update = STATE_UPDATES.get(line.message)?.(line);
    if (!update) return;
    // A new process knows nothing of what the one before it believed.
    const isNew = update.startedAt !== undefined;
    const before = isNew ? undefined : this.#byProcess.get(line.process);
    const {process} = line;
    this.#byProcess.set(process, {...before, ...update, process});
  }

  /**
   * @param process a process
   * @returns what it believes by now, if anything was heard of it
   */
  get(process: string): ProcessState | undefined {
    return this.#byProcess.get(process);
  }

  /** @returns all processes' beliefs by name */
  list(): readonly ProcessState[] {
    const all = [...this.#byProcess.values()];
    return all.sort((left, right) => (left.process < right.process ? -1 : 1));
  }
}
