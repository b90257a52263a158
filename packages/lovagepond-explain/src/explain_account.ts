/**
 * Accounts as text.
 */
import {type ProcessBelief} from './explain_beliefs.js';
import {causeOf} from './explain_causes.js';
import {type LogLine, textOf} from './explain_line.js';
import {type RequestAccount} from './explain_request.js';

/** Fields that stand in each line, or elsewhere in the account. */
const LEFT_OUT: ReadonlySet<string> = new Set([
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
    .filter(([name]) => !LEFT_OUT.has(name))
    .map(([name, value]) => `${name}=${textOf(value)}`)
    .join(' ');
}

function renderLine({timeMs, process, message, fields}: LogLine): string {
  const facts = renderFields(fields);
  return `  ${renderTime(timeMs)} ${process} ${message}: ${facts}`;
}

function renderBelief(belief: ProcessBelief): string[] {
  const {revision, documentVersion, revisionAt, servers, serversAt} = belief;
  const {startedAt, term, leadsSince, control, controlAt} = belief;
  const {group, groupAt} = belief;
  const parts = [
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
    belief.drainingSince !== undefined &&
      `draining since ${renderTime(belief.drainingSince)}`,
  ];
  return parts.filter(part => part !== false).map(part => `  ${part}`);
}

/**
 * @param beliefs what processes believed
 * @returns the text, a block for each process
 */
export function renderBeliefs(beliefs: readonly ProcessBelief[]): string {
  const blocks = beliefs.map(belief =>
    [belief.process, ...renderBelief(belief)].join('\n'),
  );
  return `${blocks.join('\n')}\n`;
}

function renderNear({nearFailures}: RequestAccount): string[] {
  if (nearFailures.length === 0) return [];
  const processes = new Set(nearFailures.map(({process}) => process));
  return [
    `around it: ${nearFailures.length} other attempts failed at the same ` +
      `server within a second, of ${processes.size} processes`,
  ];
}

/**
 * @param account what is known of a request
 * @returns the text: its lines, what its process believed, the cause
 */
export function renderRequest(account: RequestAccount): string {
  const {id, lines, belief} = account;
  const believed = belief
    ? [`${belief.process} then:`, ...renderBelief(belief)]
    : [];
  return [
    `request ${id}`,
    ...lines.map(renderLine),
    ...believed,
    ...renderNear(account),
    `cause: ${causeOf(account)}`,
    '',
  ].join('\n');
}
