/**
 * Renders process states and request reports as text.
 */
import {describeCause} from './explain_causes.js';
import {formatValue, type LogLine} from './explain_line.js';
import {type ProcessState} from './explain_process_state.js';
import {type RequestReport} from './explain_request.js';

/** Fields omitted from rendered lines: shown elsewhere or not needed. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set([
  'role',
  'name',
  'request',
  'logLevel',
]);

function renderTime(timeMs: number | undefined): string {
  if (timeMs === undefined) return '?';
  return new Date(timeMs).toISOString();
}

function renderFields(fields: LogLine['fields']): string {
  return Object.entries(fields)
    .filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(' ');
}

function renderLine({timeMs, process, message, fields}: LogLine): string {
  const fieldText = renderFields(fields);
  return `  ${renderTime(timeMs)} ${process} ${message}: ${fieldText}`;
}

function renderProcessState(state: ProcessState): string[] {
  const {revision, documentVersion, revisionAt, servers, serversAt} = state;
  const {startedAt, term, leadsSince, control, controlAt} = state;
  const {group, groupAt} = state;
  const phrases = [
    startedAt !== undefined && `started ${renderTime(startedAt)}`,
    revision !== undefined &&
      `revision ${revision} (version ${documentVersion ?? '?'}) since ${renderTime(revisionAt)}`,
    servers !== undefined &&
      `${servers} backend servers since ${renderTime(serversAt)}`,
    term !== undefined &&
      `led control in term ${term} since ${renderTime(leadsSince)}`,
    group !== undefined && `${group}, since ${renderTime(groupAt)}`,
    control !== undefined &&
      `control: ${control}, since ${renderTime(controlAt)}`,
    state.drainingSince !== undefined &&
      `draining since ${renderTime(state.drainingSince)}`,
  ];
  return phrases
    .filter(phrase => phrase !== false)
    .map(phrase => `  ${phrase}`);
}

/**
 * @param states the states of the processes
 * @returns the text, one block for each process
 */
export function renderProcessStates(states: readonly ProcessState[]): string {
  const blocks = states.map(state =>
    [state.process, ...renderProcessState(state)].join('\n'),
  );
  return `${blocks.join('\n')}\n`;
}

function renderNearbyFailures({nearbyFailures}: RequestReport): string[] {
  if (nearbyFailures.length === 0) return [];
  const processes = new Set(nearbyFailures.map(({process}) => process));
  return [
    `nearby: ${nearbyFailures.length} other attempts failed at the same ` +
      `server within a second, logged by ${processes.size} processes`,
  ];
}

/**
 * @param report the report of one request
 * @returns the text: the request's log lines, the state of its process, nearby
 *     failures and the cause
 */
export function renderRequest(report: RequestReport): string {
  const {id, lines, processState} = report;
  const stateLines = processState
    ? [
        `state of ${processState.process} at that time:`,
        ...renderProcessState(processState),
      ]
    : [];
  return [
    `request ${id}`,
    ...lines.map(renderLine),
    ...stateLines,
    ...renderNearbyFailures(report),
    `cause: ${describeCause(report)}`,
    '',
  ].join('\n');
}
