/**
 * Derives the state of each process from its log lines.
 */
import {formatValue, type LogLine} from './explain_line.js';

/**
 * State of one process, as its log shows it. Each `...At` and `...Since` field
 * is the time of the log line that set this part of the state, in milliseconds.
 */
export interface ProcessState {
  readonly process: string;
  readonly startedAt?: number;
  /** Revision of the installed configuration. */
  readonly revision?: string;
  /** Version number that the operators gave this configuration. */
  readonly documentVersion?: string;
  readonly revisionAt?: number;
  /** Number of backend servers. */
  readonly servers?: string;
  readonly serversAt?: number;
  /**
   * Consensus term in which the process last became leader of the control
   * group. Stays set when it loses the leadership.
   */
  readonly term?: string;
  readonly leadsSince?: number;
  /** Address of the subscribed control member, or why it was lost. */
  readonly control?: string;
  readonly controlAt?: number;
  /** Consensus state, members and log indexes; set for control members only. */
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

/** State updates by log message. */
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
      control: `subscribed to ${formatValue(fields['address'])}`,
      controlAt: timeMs,
    }),
  ],
  [
    'member believes',
    ({timeMs, fields}) => ({group: describeGroup(fields), groupAt: timeMs}),
  ],
  ['draining', ({timeMs}) => ({drainingSince: timeMs})],
]);

/** Tracks the state of every process. */
export class ProcessStateTracker {
  readonly #byProcess = new Map<string, ProcessState>();

  /** @param line the next log line of its process */
  take(line: LogLine): void {
    const update = STATE_UPDATES.get(line.message)?.(line);
    if (!update) return;
    // A restarted process doesn't keep the state of its predecessor.
    const isNew = update.startedAt !== undefined;
    const before = isNew ? undefined : this.#byProcess.get(line.process);
    const {process} = line;
    this.#byProcess.set(process, {...before, ...update, process});
  }

  /**
   * @param process a process, as in {@link LogLine.process}
   * @returns its latest state, or undefined when no line updated it
   */
  get(process: string): ProcessState | undefined {
    return this.#byProcess.get(process);
  }

  /** @returns the states of all processes, sorted by name */
  list(): readonly ProcessState[] {
    const all = [...this.#byProcess.values()];
    return all.sort((left, right) => (left.process < right.process ? -1 : 1));
  }
}
